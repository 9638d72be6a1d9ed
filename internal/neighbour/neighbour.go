package neighbour

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/boottime"
)

const (
	// Interval is how often an instance tells its load.
	Interval = 100 * time.Millisecond
	// awayFactor is how many times less often instances of other data centres are
	// told once there are more than fewPeers: what crosses data centres costs
	// more, and matters less there.
	awayFactor = 3
	fewPeers   = 16
	// sentKept is how many sendings are remembered, several seconds' worth.
	sentKept = 64
	// heardFor is how long an instance counts as there after its last digest.
	heardFor = time.Second
	// quietInterval is how often an instance that isn't heard gets a digest.
	quietInterval = 2 * time.Second
	// forgetAfter is how long an instance that isn't heard counts at least as a
	// process that may still send requests.
	forgetAfter = 30 * time.Second
	// dropAfter is how long an instance that is known by its digests only is
	// remembered after the last one.
	dropAfter = 10 * time.Minute
	// lateFor is more than a datagram is late.
	lateFor = 5 * time.Second
)

// Exchanger exchanges digests with the other instances. The exported fields must be
// set before Run.
type Exchanger struct {
	Instance   string
	DataCentre string
	// DataCentres are those that digests may come from and tell of; nil means any.
	DataCentres []string
	Listen      netip.AddrPort
	Started     time.Time
	// Digest returns the part of the digest that its owner knows.
	Digest func() Digest
	// OnDigest is told of each digest that is newer than the last of its instance.
	OnDigest func(Digest)
	// OnReachabilityChange is told when an instance is heard first, or no more.
	OnReachabilityChange func(instance, dataCentre string, heard bool)
	// OnRefuse is nil or told of each datagram that is not taken.
	OnRefuse func(from netip.Addr, reason Refusal, err error)
	// OnTimestampError is nil or told that datagrams come without their time of arrival,
	// so that those which lay unread count as new.
	OnTimestampError func(error)

	mu    sync.Mutex
	peers map[netip.Addr]*peer
	held  int // bytes of the last digests of all peers
	seq   uint64
	sent  [sentKept]time.Duration // when digests were sent, on the clock of package boottime, by seq
}

type peer struct {
	address netip.Addr
	named   bool // by the settings or the platform, not only by its digests
	last    Digest
	size    int       // bytes of memory of the last digest
	heardAt time.Time // zero before the first digest
	addedAt time.Time
	sentAt  time.Time
	heard   bool
	gone    bool  // counts no more as a process that may send requests
	newest  int64 // latest start by the instance's time of day
	other   Echo  // last digest of another start that is not believed yet
}

// follows reports whether a digest is newer than the last of its instance. The
// time of day of a start may have been set back since the one before. Such a start
// is believed when the one before has been silent for longer than a datagram is
// late, and its digests go on.
func (p *peer) follows(d Digest, now time.Time) bool {
	switch {
	case p.heardAt.IsZero(), d.Started > p.newest:
		return true
	case d.Started == p.last.Started:
		return d.Seq > p.last.Seq
	case now.Sub(p.heardAt) <= lateFor:
		return false
	}
	goesOn := p.other.Seq > 0 && d.Started == p.other.Started && d.Seq > p.other.Seq
	p.other = Echo{Instance: d.Instance, Started: d.Started, Seq: d.Seq}
	return goesOn
}

// Add makes an instance known by its address.
func (n *Exchanger) Add(address netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.add(address); p != nil {
		p.named = true
	}
}

func (n *Exchanger) add(address netip.Addr) *peer {
	if address == n.Listen.Addr() {
		return nil
	}
	p := n.peers[address]
	if p == nil {
		if n.peers == nil {
			n.peers = map[netip.Addr]*peer{}
		}
		p = &peer{address: address, addedAt: time.Now()}
		n.peers[address] = p
	}
	return p
}

// Run sends and receives digests until the context ends.
func (n *Exchanger) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.Listen))
	if err != nil {
		return errors.Wrap(err, "neighbours")
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.receive(ctx, conn) })
	group.Go(func() error { return n.send(ctx, conn) })
	return group.Wait()
}

func (n *Exchanger) receive(ctx context.Context, conn *net.UDPConn) error {
	if err := stampArrivals(conn); err != nil && n.OnTimestampError != nil {
		n.OnTimestampError(err)
	}
	buf, control := make([]byte, maxDigest+1), make([]byte, controlBytes)
	for {
		size, controlSize, _, from, err := conn.ReadMsgUDPAddrPort(buf, control)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram to an instance that is down comes back as an error.
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(Interval / 10):
			}
			continue
		}
		if err := n.take(from.Addr().Unmap(), buf[:size], control[:controlSize], time.Now()); err != nil && n.OnRefuse != nil {
			n.OnRefuse(from.Addr().Unmap(), reasonOf(err), err)
		}
	}
}

// take takes a datagram over that came with control data.
func (n *Exchanger) take(from netip.Addr, data, control []byte, now time.Time) error {
	d, err := decode(data, now)
	if err != nil {
		return err
	}
	d.BufferedFor = held(control, now)
	if !n.knows(d.DataCentre) {
		return refuse(ForeignDataCentre, "from data centre %q", d.DataCentre)
	}
	for dataCentre := range d.OtherDataCentres {
		if !n.knows(dataCentre) {
			return refuse(ForeignDataCentre, "about data centre %q", dataCentre)
		}
	}
	newer, changed, err := n.remember(from, d, now)
	if err != nil || !newer {
		return err
	}
	if changed && n.OnReachabilityChange != nil {
		n.OnReachabilityChange(d.Instance, d.DataCentre, true)
	}
	n.OnDigest(d)
	return nil
}

func (n *Exchanger) knows(dataCentre string) bool {
	return len(n.DataCentres) == 0 || dataCentre == n.DataCentre || slices.Contains(n.DataCentres, dataCentre)
}

// remember keeps a digest as its sender's last, unless a newer one is known. It
// reports whether it did, and whether the sender was not heard before.
func (n *Exchanger) remember(from netip.Addr, d Digest, now time.Time) (newer, changed bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from == n.Listen.Addr() {
		return false, false, nil
	}
	p := n.peers[from]
	if p != nil {
		if !p.follows(d, now) {
			return false, false, nil
		}
		if d.Instance != p.last.Instance && p.heard && now.Sub(p.heardAt) <= heardFor {
			return false, false, refuse(NameTaken, "%q from the address of %q", d.Instance, p.last.Instance)
		}
	}
	size, was := d.size(), 0
	if p != nil {
		was = p.size
	}
	if p == nil && len(n.peers) >= maxPeers {
		n.drop(now, forgetAfter)
	}
	switch {
	case p == nil && len(n.peers) >= maxPeers:
		return false, false, refuse(TooManyInstances, "%d are known already", maxPeers)
	case n.held-was+size > maxHeld:
		return false, false, refuse(TooMuchMemory, "the digests of all would take more than %d bytes", maxHeld)
	}
	p = n.add(from)
	changed = !p.heard
	p.last, p.heardAt, p.heard, p.gone = d, now, true, false
	p.newest, p.other = max(p.newest, d.Started), Echo{}
	p.size = size
	n.held += size - was
	return true, changed, nil
}

// drop forgets the instances that only their digests have named and that have
// sent none for a time.
func (n *Exchanger) drop(now time.Time, silent time.Duration) {
	for address, p := range n.peers {
		if !p.named && !p.heard && now.Sub(p.heardAt) > silent {
			n.held -= p.size
			delete(n.peers, address)
		}
	}
}

func (n *Exchanger) send(ctx context.Context, conn *net.UDPConn) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.tell(conn, time.Now())
	}
}

// tell sends one digest to all that are heard, and now and then to the others.
func (n *Exchanger) tell(conn *net.UDPConn, now time.Time) {
	echoes := n.echoes() // before the ages in the digest, which they date
	d := n.Digest()
	if d.Keeper {
		d.Echoes = echoes
	}
	d.Instance, d.DataCentre, d.Started = n.Instance, n.DataCentre, n.Started.UnixMilli()
	n.mu.Lock()
	n.seq++
	d.Seq = n.seq
	n.sent[d.Seq%sentKept] = boottime.Now()
	var to []netip.Addr
	var lost []Digest
	for _, p := range n.peers {
		if p.heard && now.Sub(p.heardAt) > heardFor {
			p.heard = false
			lost = append(lost, p.last)
		}
		if !p.heard && now.Sub(p.sentAt) < quietInterval && now.Sub(p.addedAt) > quietInterval {
			continue
		}
		if p.heard && p.last.DataCentre != n.DataCentre && len(n.peers) > fewPeers && d.Seq%awayFactor != 0 {
			continue
		}
		p.sentAt = now
		to = append(to, p.address)
	}
	n.drop(now, dropAfter)
	n.mu.Unlock()
	for _, l := range lost {
		if n.OnReachabilityChange != nil {
			n.OnReachabilityChange(l.Instance, l.DataCentre, false)
		}
	}
	data, err := encode(d)
	if err != nil || len(data) > maxDigest {
		return // a digest is best effort; the next one may fit
	}
	for _, address := range to {
		// An instance that can't be reached is noticed by its silence.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, n.Listen.Port()))
	}
}

// echoes names the last digests of the data centre's instances.
func (n *Exchanger) echoes() []Echo {
	n.mu.Lock()
	defer n.mu.Unlock()
	var echoes []Echo
	for _, p := range n.peers {
		if p.heard && p.last.DataCentre == n.DataCentre {
			echoes = append(echoes, Echo{Instance: p.last.Instance, Started: p.last.Started, Seq: p.last.Seq})
		}
	}
	return echoes
}

// EchoSentAt returns when this instance sent the last digest that the sender of d
// had from it, on the clock of package boottime.
func (n *Exchanger) EchoSentAt(d Digest) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range d.Echoes {
		if e.Instance != n.Instance || e.Started != n.Started.UnixMilli() {
			continue
		}
		if e.Seq > n.seq || n.seq-e.Seq >= sentKept {
			return 0, false
		}
		return n.sent[e.Seq%sentKept], true
	}
	return 0, false
}

// RecentDigests returns the last digests of the instances that are heard.
func (n *Exchanger) RecentDigests() []Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var heard []Digest
	for _, p := range n.peers {
		if p.heard && now.Sub(p.heardAt) <= heardFor {
			heard = append(heard, p.last)
		}
	}
	slices.SortFunc(heard, func(a, b Digest) int { return cmp.Compare(a.Instance, b.Instance) })
	return heard
}

// ProcessCount returns how many processes may be sending requests, this one included.
func (n *Exchanger) ProcessCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(time.Now())
	count := 1
	for _, p := range n.peers {
		if !p.gone {
			count++
		}
	}
	return count
}

// forget leaves those out of the count that are silent for long. One that doesn't
// hear most of the others may be cut off itself, while they go on; it forgets only
// those that said that they leave. The lock is held.
func (n *Exchanger) forget(now time.Time) {
	known, heard := 1, 1 // this one included
	for _, p := range n.peers {
		if p.gone || p.heardAt.IsZero() {
			continue
		}
		known++
		if now.Sub(p.heardAt) <= heardFor {
			heard++
		}
	}
	for _, p := range n.peers {
		if now.Sub(p.heardAt) < forgetAfter || now.Sub(p.addedAt) < forgetAfter {
			continue
		}
		if p.heardAt.IsZero() {
			p.gone = p.gone || heard > 1 // an address may be of a machine that is gone
			continue
		}
		p.gone = p.gone || p.last.Leaving || 2*heard > known
	}
}

// IsKeeper reports whether this instance, blind or not, is the one of its data centre's heard
// instances that looks after its groups. All that hear each other agree.
func (n *Exchanger) IsKeeper(blind bool) bool {
	own := rank(n.DataCentre, n.Instance)
	for _, d := range n.RecentDigests() {
		switch {
		case d.DataCentre != n.DataCentre || d.Leaving || d.StoreUnreachable && !blind:
		case blind && !d.StoreUnreachable, rank(n.DataCentre, d.Instance) < own:
			return false
		}
	}
	return true
}

func rank(dataCentre, instance string) uint64 { return xxhash.Sum64String(dataCentre + "/" + instance) }
