package neighbour

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/boottime"
)

const (
	// Interval is the time between two digests of an instance.
	Interval = 100 * time.Millisecond
	// sentHistory is the number of digests whose send times are kept. It covers
	// several seconds.
	sentHistory = 64
	// reachableFor is how long an instance counts as reachable after its last
	// digest was received.
	reachableFor = time.Second
	// unreachableInterval is the time between two digests to an unreachable
	// instance.
	unreachableInterval = 2 * time.Second
	// countedFor is the minimum time for which an unreachable instance counts as a
	// process that may still send requests.
	countedFor = 30 * time.Second
	// removeAfter is how long an instance that neither the settings nor the
	// platform list is kept after its last digest.
	removeAfter = 10 * time.Minute
	// maxDatagramDelay exceeds the time for which a datagram can be delayed.
	maxDatagramDelay = 5 * time.Second
)

// Exchanger sends digests to the other entry instances and receives theirs. The
// exported fields must be set before Run is called.
type Exchanger struct {
	Instance   string
	DataCentre string
	// DataCentres lists the data centres that digests may come from and describe;
	// nil means any.
	DataCentres []string
	Listen      netip.AddrPort
	Started     time.Time
	Weight      int // of this instance in the choice of the keeper, see Weight
	// Digest returns the next digest to send, without the sender, the sequence number
	// and the echoes.
	Digest func() Digest
	// OnDigest is called with each digest that is newer than the last one from the
	// same instance.
	OnDigest func(Digest)
	// OnReachabilityChange, if not nil, is called when an instance becomes reachable or
	// unreachable.
	OnReachabilityChange func(instance, dataCentre string, reachable bool)
	// OnRefuse, if not nil, is called for each datagram that is refused.
	OnRefuse func(from netip.Addr, reason Refusal, err error)
	// OnTimestampError, if not nil, is called when the kernel's receive timestamps can't
	// be enabled. Digests that waited in the socket buffer then count as new.
	OnTimestampError func(error)

	mu            sync.Mutex
	peers         map[netip.Addr]*peer
	places        map[string]cachedPlaces // by relay
	ownTurns      placesTurns
	modeAt        time.Time               // when manyProcesses was determined
	manyProcesses bool                    // there are more than meshPeers others
	relaying      bool                    // this instance sends as a relay
	relaySince    time.Time               // when that began
	relayHeard    map[string]time.Time    // when a relay of a data centre was last heard
	lowerHeard    time.Time               // when an instance was last heard that precedes this one as keeper
	processes     map[string]relayedCount // by data centre
	digestBytes   int                     // memory of the last digests of all peers
	seq           uint64
	sendTimes     [sentHistory]time.Duration // send times on the clock of package boottime, indexed by sequence number modulo sentHistory
}

// relayedCount is the number of processes that a run of a relay reported.
type relayedCount struct {
	relay      string
	started    int64
	since      time.Time // when that run was first heard as the relay of its data centre
	count      int
	receivedAt time.Time
}

// peer is another instance, identified by its address.
type peer struct {
	address         netip.Addr
	instance        string // name as registered or from its digests; empty if not known
	dataCentre      string // likewise
	weight          int
	rank            uint64      // rankOf the three
	turns           placesTurns // of its digests, when they are relayed
	listed          bool        // in the settings or by the platform, rather than known only from its digests
	lastDigest      Digest
	lastDigestBytes int       // memory of lastDigest
	receivedAt      time.Time // time of lastDigest; zero if none was received
	addedAt         time.Time
	lastSentAt      time.Time
	reachable       bool
	presumedEnded   bool  // no longer counts as a process that may send requests
	newestStart     int64 // latest Started among the accepted digests
	pendingRun      Echo  // last digest of another run that is not accepted yet
}

// setName sets the name, data centre and weight of the peer.
func (p *peer) setName(instance, dataCentre string, weight int) {
	if p.instance != instance || p.dataCentre != dataCentre || p.weight != weight {
		p.instance, p.dataCentre, p.weight, p.rank = instance, dataCentre, weight, rankOf(dataCentre, instance, weight)
	}
}

// accepts reports whether a digest is newer than the last one accepted from its
// instance. If the instance's clock was set back before a restart, the new run
// has an earlier start time than the previous one. Such a run is accepted at its
// second digest, if the previous run has sent nothing for longer than
// maxDatagramDelay.
func (p *peer) accepts(d Digest, now time.Time) bool {
	switch {
	case p.receivedAt.IsZero(), d.Started > p.newestStart:
		return true
	case d.Started == p.lastDigest.Started:
		return d.Seq > p.lastDigest.Seq
	case now.Sub(p.receivedAt) <= maxDatagramDelay:
		return false
	}
	continues := p.pendingRun.Seq > 0 && d.Started == p.pendingRun.Started && d.Seq > p.pendingRun.Seq
	p.pendingRun = Echo{Instance: d.Instance, Started: d.Started, Seq: d.Seq}
	return continues
}

// Add adds an instance that the settings or the platform list.
func (x *Exchanger) Add(address netip.Addr) { x.AddNamed(address, "", "", 0) }

// AddNamed is like Add for an instance whose name, data centre and weight are known.
func (x *Exchanger) AddNamed(address netip.Addr, instance, dataCentre string, weight int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.addPeer(address)
	if p == nil {
		return
	}
	p.listed = true
	if p.receivedAt.IsZero() && instance != "" {
		p.setName(instance, dataCentre, min(max(weight, 0), maxWeight))
	}
}

// addPeer returns the peer with the address, which it creates if necessary, or
// nil for this instance's own address. The caller holds the lock.
func (x *Exchanger) addPeer(address netip.Addr) *peer {
	if address == x.Listen.Addr() {
		return nil
	}
	p := x.peers[address]
	if p == nil {
		if x.peers == nil {
			x.peers = map[netip.Addr]*peer{}
		}
		p = &peer{address: address, addedAt: time.Now()}
		x.peers[address] = p
	}
	return p
}

// Run sends and receives digests until ctx is done.
func (x *Exchanger) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(x.Listen))
	if err != nil {
		return errors.Wrap(err, "listen for digests of other instances")
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.receiveDigests(ctx, conn) })
	group.Go(func() error { return x.sendDigests(ctx, conn) })
	return group.Wait()
}

// receiveDigests receives digests until ctx is done.
func (x *Exchanger) receiveDigests(ctx context.Context, conn *net.UDPConn) error {
	if err := enableReceiveTimestamps(conn); err != nil && x.OnTimestampError != nil {
		x.OnTimestampError(err)
	}
	buf, control := make([]byte, maxDigestBytes+1), make([]byte, controlBufferBytes)
	for {
		size, controlSize, _, from, err := conn.ReadMsgUDPAddrPort(buf, control)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The kernel reports the ICMP error for a datagram to an instance that is
			// down as a read error.
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(Interval / 10):
			}
			continue
		}
		if err := x.handleDatagram(from.Addr().Unmap(), buf[:size], control[:controlSize], time.Now()); err != nil && x.OnRefuse != nil {
			x.OnRefuse(from.Addr().Unmap(), reasonOf(err), err)
		}
	}
}

// handleDatagram decodes, checks and stores a datagram. The control data holds
// the kernel's receive timestamp.
func (x *Exchanger) handleDatagram(from netip.Addr, data, control []byte, now time.Time) error {
	d, err := decode(data, now)
	if err != nil {
		return err
	}
	d.BufferedFor = bufferedFor(control, now)
	if !x.allowsDataCentre(d.DataCentre) {
		return newRefusal(ForeignDataCentre, "sent from unknown data centre %q", d.DataCentre)
	}
	for dataCentre := range d.OtherDataCentres {
		if !x.allowsDataCentre(dataCentre) {
			return newRefusal(ForeignDataCentre, "lists places of unknown data centre %q", dataCentre)
		}
	}
	accepted, becameReachable, err := x.storeDigest(from, d, now)
	if err != nil || !accepted {
		return err
	}
	if becameReachable && x.OnReachabilityChange != nil {
		x.OnReachabilityChange(d.Instance, d.DataCentre, true)
	}
	for _, d := range x.acceptedDigests(from) {
		x.OnDigest(d)
	}
	return nil
}

// acceptedDigests returns the last digest from an address and those that it relays,
// without the loads and the use of limits that another digest has too.
func (x *Exchanger) acceptedDigests(from netip.Addr) []Digest {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[from]
	if p == nil {
		return nil
	}
	d := p.lastDigest
	if !x.countsLoads(d) {
		d.Load, d.Limits = nil, withoutUse(d.Limits)
	}
	return append([]Digest{d}, d.Relayed...)
}

// allowsDataCentre reports whether digests may come from the data centre or describe
// it.
func (x *Exchanger) allowsDataCentre(dataCentre string) bool {
	return len(x.DataCentres) == 0 || dataCentre == x.DataCentre || slices.Contains(x.DataCentres, dataCentre)
}

// storeDigest stores a digest as the last one of its sender, unless a newer one is
// stored. It reports whether the digest was accepted, and whether its sender was
// unreachable before.
func (x *Exchanger) storeDigest(from netip.Addr, d Digest, now time.Time) (accepted, becameReachable bool, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if from == x.Listen.Addr() {
		return false, false, nil
	}
	p := x.peers[from]
	if p != nil {
		if !p.accepts(d, now) {
			return false, false, nil
		}
		if d.Instance != p.lastDigest.Instance && p.reachable && now.Sub(p.receivedAt) <= reachableFor {
			return false, false, newRefusal(NameTaken, "instance %q sent from the address of instance %q", d.Instance, p.lastDigest.Instance)
		}
	}
	size, previousSize := d.memoryBytes(), 0
	if p != nil {
		previousSize = p.lastDigestBytes
	}
	if p == nil && len(x.peers) >= maxPeers {
		x.removeStale(now, countedFor)
	}
	switch {
	case p == nil && len(x.peers) >= maxPeers:
		return false, false, newRefusal(TooManyInstances, "%d instances are known already", maxPeers)
	case x.digestBytes-previousSize+size > maxTotalDigestBytes:
		return false, false, newRefusal(TooMuchMemory, "the digests of all instances would take more than %d bytes", maxTotalDigestBytes)
	}
	p = x.addPeer(from)
	becameReachable = !p.reachable
	x.fillPlaces(&d, now)
	x.noteRelays(d, now)
	p.lastDigest, p.receivedAt, p.reachable, p.presumedEnded = d, now, true, false
	p.setName(d.Instance, d.DataCentre, d.Weight)
	p.newestStart, p.pendingRun = max(p.newestStart, d.Started), Echo{}
	p.lastDigestBytes = size
	x.digestBytes += size - previousSize
	return true, becameReachable, nil
}

// removeStale removes the unreachable instances that are not listed and whose last
// digest is older than minSilence. The caller holds the lock.
func (x *Exchanger) removeStale(now time.Time, minSilence time.Duration) {
	for address, p := range x.peers {
		if !p.listed && !p.reachable && now.Sub(p.receivedAt) > minSilence {
			x.digestBytes -= p.lastDigestBytes
			delete(x.peers, address)
		}
	}
}

// sendDigests sends a digest in each Interval until ctx is done, or in each
// relayInterval while there are relays.
func (x *Exchanger) sendDigests(ctx context.Context, conn *net.UDPConn) error {
	interval := Interval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		x.sendDigest(conn, time.Now())
		if next := x.interval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// interval returns the time between two digests of this instance.
func (x *Exchanger) interval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.usesRelays() {
		return relayInterval
	}
	return Interval
}

// sendDigest sends one digest to all reachable instances, and to the unreachable
// ones at a lower rate. If there are relays, it goes only to some of them.
func (x *Exchanger) sendDigest(conn *net.UDPConn, now time.Time) {
	for _, m := range x.nextDatagrams(now) {
		// Errors are ignored: a peer counts as unreachable when its digests stop.
		_, _ = conn.WriteToUDPAddrPort(m.data, netip.AddrPortFrom(m.to, x.Listen.Port()))
	}
}

// nextDatagrams returns the datagrams of the next digest.
func (x *Exchanger) nextDatagrams(now time.Time) []datagram {
	// The send times of the echoed digests bound the ages in this digest, so the echoes
	// must be collected before the ages are computed.
	echoes := x.echoes()
	d := x.Digest()
	if d.Keeper {
		d.Echoes = echoes
	}
	d.Instance, d.DataCentre, d.Started, d.Weight = x.Instance, x.DataCentre, x.Started.UnixMilli(), x.Weight
	x.mu.Lock()
	x.seq++
	d.Seq = x.seq
	x.sendTimes[d.Seq%sentHistory] = boottime.Now()
	unreachable := x.updateReachable(now)
	x.removeStale(now, removeAfter)
	var datagrams []datagram
	if x.usesRelays() {
		datagrams = x.relayDatagrams(d, now)
	} else {
		datagrams = x.meshDatagrams(d, now)
	}
	x.mu.Unlock()
	for _, last := range unreachable {
		if x.OnReachabilityChange != nil {
			x.OnReachabilityChange(last.Instance, last.DataCentre, false)
		}
	}
	return datagrams
}

// datagram is an encoded digest and the address that it is sent to.
type datagram struct {
	to   netip.Addr
	data []byte
}

// updateReachable marks the peers whose digests have stopped as unreachable and returns
// the last digests of those for which this is news. The caller holds the lock.
func (x *Exchanger) updateReachable(now time.Time) []Digest {
	var unreachable []Digest
	for _, p := range x.peers {
		if !p.reachable || now.Sub(p.receivedAt) <= reachableFor {
			continue
		}
		p.reachable = false
		// A member that has found a relay sends its digests only there.
		if x.relaying || p.lastDigest.Relay || !x.usesRelays() {
			unreachable = append(unreachable, p.lastDigest)
		}
	}
	return unreachable
}

// meshDatagrams returns the datagrams of a digest for all instances. The caller holds
// the lock.
func (x *Exchanger) meshDatagrams(d Digest, now time.Time) []datagram {
	data, ok := encodeFitting(d)
	if !ok {
		return nil
	}
	var datagrams []datagram
	for _, p := range x.peers {
		if !p.reachable && now.Sub(p.lastSentAt) < unreachableInterval && now.Sub(p.addedAt) > unreachableInterval {
			continue
		}
		p.lastSentAt = now
		datagrams = append(datagrams, datagram{to: p.address, data: data})
	}
	return datagrams
}

// encodeFitting encodes a digest and reports whether it fits into a datagram. Digests are
// best effort; if one does not fit, the next one may.
func encodeFitting(d Digest) ([]byte, bool) {
	data, err := encode(d)
	return data, err == nil && len(data) <= maxDigestBytes
}

// echoes returns an echo of the last digest of each reachable instance of the data
// centre.
func (x *Exchanger) echoes() []Echo {
	x.mu.Lock()
	defer x.mu.Unlock()
	var echoes []Echo
	for _, p := range x.peers {
		if p.reachable && p.lastDigest.DataCentre == x.DataCentre {
			echoes = append(echoes, Echo{Instance: p.lastDigest.Instance, Started: p.lastDigest.Started, Seq: p.lastDigest.Seq})
		}
	}
	return echoes
}

// EchoSentAt returns when this instance sent the digest that d echoes, on the clock of
// package boottime. It returns false if d echoes no digest of this run, or one
// whose send time is no longer kept.
func (x *Exchanger) EchoSentAt(d Digest) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range d.Echoes {
		if e.Instance != x.Instance || e.Started != x.Started.UnixMilli() {
			continue
		}
		if e.Seq > x.seq || x.seq-e.Seq >= sentHistory {
			return 0, false
		}
		return x.sendTimes[e.Seq%sentHistory], true
	}
	return 0, false
}

// RecentDigests returns the last digests of the reachable instances, sorted by instance.
func (x *Exchanger) RecentDigests() []Digest {
	var digests []Digest
	x.AnyRecent(func(d *Digest) bool {
		digests = append(digests, *d)
		return false
	})
	slices.SortFunc(digests, func(a, b Digest) int { return cmp.Compare(a.Instance, b.Instance) })
	return digests
}

// AnyRecent reports whether a function returns true for the last digest of any reachable
// instance. It calls the function with a lock held, which must not change the digest.
func (x *Exchanger) AnyRecent(matches func(*Digest) bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, p := range x.peers {
		if p.isRecent(now) && matches(&p.lastDigest) {
			return true
		}
	}
	return false
}

// isRecent reports whether a digest of the peer was received within reachableFor.
func (p *peer) isRecent(now time.Time) bool {
	return p.reachable && now.Sub(p.receivedAt) <= reachableFor
}
