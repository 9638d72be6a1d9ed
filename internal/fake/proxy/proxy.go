package proxy

import (
	"context"
	"net"
	"sync"
)

// Unlimited is the byte count of a cut that never comes.
const Unlimited = -1

// Proxy passes bytes between its callers and a target.
type Proxy struct {
	listener net.Listener

	mu       sync.Mutex
	target   string
	accepted int
	pairs    map[*pair]struct{}
	toTarget int  // bytes of a new connection until it is cut
	toCaller int  // likewise, the other way
	silent   bool // new connections pass nothing
}

// Start listens at the address and passes to the target until the context ends.
func Start(ctx context.Context, address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		listener: listener,
		pairs:    make(map[*pair]struct{}),
		toTarget: Unlimited,
		toCaller: Unlimited,
	}
	context.AfterFunc(ctx, func() {
		listener.Close()
		p.CutOpen()
	})
	go p.accept()
	return p, nil
}

// Address returns the IP:port that the proxy listens at.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns how many connections were opened.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Retarget passes connections opened from now on to another target.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// CutNew cuts each connection opened from now on after so many bytes to the
// target or to the caller.
func (p *Proxy) CutNew(toTarget, toCaller int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toTarget, p.toCaller = toTarget, toCaller
}

// SilenceNew has connections opened from now on pass nothing, or pass again.
func (p *Proxy) SilenceNew(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// SilenceOpen has the open connections pass nothing any more.
func (p *Proxy) SilenceOpen() { p.each((*pair).silence) }

// CutOpen closes the open connections.
func (p *Proxy) CutOpen() { p.each((*pair).close) }

func (p *Proxy) each(do func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for open := range p.pairs {
		do(open)
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
	open := &pair{caller: caller, target: target, silenced: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	toTarget, toCaller := p.toTarget, p.toCaller
	if p.silent {
		open.silence()
	}
	p.pairs[open] = struct{}{}
	p.mu.Unlock()

	go open.pass(target, caller, toTarget)
	open.pass(caller, target, toCaller)
	<-open.closed
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, open)
}

// pair is one connection and its continuation to the target.
type pair struct {
	caller, target net.Conn
	silenceOnce    sync.Once
	closeOnce      sync.Once
	silenced       chan struct{}
	closed         chan struct{}
}

func (o *pair) silence() { o.silenceOnce.Do(func() { close(o.silenced) }) }

func (o *pair) close() {
	o.closeOnce.Do(func() {
		o.caller.Close()
		o.target.Close()
		close(o.closed)
	})
}

// pass copies bytes until either side ends or the limit is reached. A silent
// pair stays open until it is closed, whatever its two sides do.
func (o *pair) pass(to, from net.Conn, limit int) {
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
