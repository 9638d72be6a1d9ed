package proxy

import (
	"context"
	"net"
	"sync"
)

// Unlimited is the byte limit of a connection that is never cut.
const Unlimited = -1

// Proxy forwards bytes between its callers and a target.
type Proxy struct {
	listener net.Listener

	mu            sync.Mutex
	target        string
	accepted      int
	pairs         map[*connPair]struct{}
	toTargetLimit int  // bytes forwarded to the target on a new connection before it is cut
	toCallerLimit int  // the same for bytes to the caller
	silent        bool // new connections forward nothing
}

// Start listens at the address and forwards to the target until the context ends.
func Start(ctx context.Context, address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:        target,
		listener:      listener,
		pairs:         make(map[*connPair]struct{}),
		toTargetLimit: Unlimited,
		toCallerLimit: Unlimited,
	}
	context.AfterFunc(ctx, func() {
		listener.Close()
		p.CutOpen()
	})
	go p.accept()
	return p, nil
}

// Address returns the IP:port at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns the number of connections accepted.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Retarget makes the proxy forward new connections to another target.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// CutNew makes the proxy close each new connection after toTarget bytes to the target
// or toCaller bytes to the caller.
func (p *Proxy) CutNew(toTarget, toCaller int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toTargetLimit, p.toCallerLimit = toTarget, toCaller
}

// SilenceNew sets whether new connections stay open but forward nothing.
func (p *Proxy) SilenceNew(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// SilenceOpen makes the open connections stay open but forward nothing more.
func (p *Proxy) SilenceOpen() { p.forEachOpen((*connPair).silence) }

// CutOpen closes the open connections.
func (p *Proxy) CutOpen() { p.forEachOpen((*connPair).close) }

func (p *Proxy) forEachOpen(do func(*connPair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		do(pair)
	}
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	p.mu.Lock()
	p.accepted++
	address := p.target
	p.mu.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		caller.Close()
		return
	}
	pair := &connPair{caller: caller, target: target, silenced: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	toTarget, toCaller := p.toTargetLimit, p.toCallerLimit
	if p.silent {
		pair.silence()
	}
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()

	go pair.copyBytes(target, caller, toTarget)
	pair.copyBytes(caller, target, toCaller)
	<-pair.closed
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

// connPair is a connection from a caller and the matching one to the target.
type connPair struct {
	caller, target net.Conn
	silenceOnce    sync.Once
	closeOnce      sync.Once
	silenced       chan struct{}
	closed         chan struct{}
}

func (o *connPair) silence() { o.silenceOnce.Do(func() { close(o.silenced) }) }

func (o *connPair) close() {
	o.closeOnce.Do(func() {
		o.caller.Close()
		o.target.Close()
		close(o.closed)
	})
}

// copyBytes copies bytes in one direction until either side closes or the limit is
// reached, then closes the pair. A silenced pair stays open until close is called,
// even if either side closes its connection.
func (o *connPair) copyBytes(to, from net.Conn, limit int) {
	buffer := make([]byte, 32<<10)
	for limit != 0 {
		n, err := from.Read(buffer)
		select {
		case <-o.silenced:
			<-o.closed
			return
		default:
		}
		if limit > 0 {
			n = min(n, limit)
			limit -= n
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			break
		}
	}
	o.close()
}
