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
	// Interval is the time between two digests of an instance.
	Interval = 100 * time.Millisecond
	// otherDataCentreFactor is how many times less often instances of other data
	// centres get a digest once more than fullRatePeers instances are known.
	// Traffic between data centres costs more, and digests matter less there.
	otherDataCentreFactor = 3
	fullRatePeers         = 16
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

	mu          sync.Mutex
	peers       map[netip.Addr]*peer
	digestBytes int // memory of the last digests of all peers
	seq         uint64
	sendTimes   [sentHistory]time.Duration // send times on the clock of package boottime, indexed by sequence number modulo sentHistory
}

// peer is another instance, identified by its address.
type peer struct {
	address         netip.Addr
	listed          bool // in the settings or by the platform, rather than known only from its digests
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
func (x *Exchanger) Add(address netip.Addr) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.addPeer(address); p != nil {
		p.listed = true
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
	x.OnDigest(d)
	return nil
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
	p.lastDigest, p.receivedAt, p.reachable, p.presumedEnded = d, now, true, false
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

// sendDigests sends a digest in each Interval until ctx is done.
func (x *Exchanger) sendDigests(ctx context.Context, conn *net.UDPConn) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		x.sendDigest(conn, time.Now())
	}
}

// sendDigest sends one digest to all reachable instances, and to the unreachable
// ones at a lower rate.
func (x *Exchanger) sendDigest(conn *net.UDPConn, now time.Time) {
	// The send times of the echoed digests bound the ages in this digest, so the echoes
	// must be collected before the ages are computed.
	echoes := x.echoes()
	d := x.Digest()
	if d.Keeper {
		d.Echoes = echoes
	}
	d.Instance, d.DataCentre, d.Started = x.Instance, x.DataCentre, x.Started.UnixMilli()
	x.mu.Lock()
	x.seq++
	d.Seq = x.seq
	x.sendTimes[d.Seq%sentHistory] = boottime.Now()
	var targets []netip.Addr
	var unreachable []Digest
	for _, p := range x.peers {
		if p.reachable && now.Sub(p.receivedAt) > reachableFor {
			p.reachable = false
			unreachable = append(unreachable, p.lastDigest)
		}
		if !p.reachable && now.Sub(p.lastSentAt) < unreachableInterval && now.Sub(p.addedAt) > unreachableInterval {
			continue
		}
		if p.reachable && p.lastDigest.DataCentre != x.DataCentre && len(x.peers) > fullRatePeers && d.Seq%otherDataCentreFactor != 0 {
			continue
		}
		p.lastSentAt = now
		targets = append(targets, p.address)
	}
	x.removeStale(now, removeAfter)
	x.mu.Unlock()
	for _, last := range unreachable {
		if x.OnReachabilityChange != nil {
			x.OnReachabilityChange(last.Instance, last.DataCentre, false)
		}
	}
	data, err := encode(d)
	if err != nil || len(data) > maxDigestBytes {
		return // digests are best effort; the next one may fit
	}
	for _, address := range targets {
		// Errors are ignored: a peer counts as unreachable when its digests stop.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, x.Listen.Port()))
	}
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
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	var digests []Digest
	for _, p := range x.peers {
		if p.reachable && now.Sub(p.receivedAt) <= reachableFor {
			digests = append(digests, p.lastDigest)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int { return cmp.Compare(a.Instance, b.Instance) })
	return digests
}

// ProcessCount returns the number of processes that may be sending requests,
// including this one.
func (x *Exchanger) ProcessCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.markEnded(time.Now())
	count := 1
	for _, p := range x.peers {
		if !p.presumedEnded {
			count++
		}
	}
	return count
}

// markEnded marks the instances that have sent no digest for countedFor as ended.
// If this instance receives no digests from most of the others, it may itself be
// cut off while they still run. It then marks only those that announced that they
// are leaving. The caller holds the lock.
func (x *Exchanger) markEnded(now time.Time) {
	known, reachable := 1, 1 // this instance
	for _, p := range x.peers {
		if p.presumedEnded || p.receivedAt.IsZero() {
			continue
		}
		known++
		if now.Sub(p.receivedAt) <= reachableFor {
			reachable++
		}
	}
	for _, p := range x.peers {
		if now.Sub(p.receivedAt) < countedFor || now.Sub(p.addedAt) < countedFor {
			continue
		}
		if p.receivedAt.IsZero() {
			p.presumedEnded = p.presumedEnded || reachable > 1 // the address may belong to a machine that no longer exists
			continue
		}
		p.presumedEnded = p.presumedEnded || p.lastDigest.Leaving || 2*reachable > known
	}
}

// IsKeeper reports whether this instance is the keeper: the one among the
// reachable instances of its data centre that manages its groups. storeUnreachable
// says whether this instance has not reached the platform's store for a while. The
// keeper is the instance with the lowest rank among those that have reached the
// store, or among all if none has. Instances that receive each other's digests agree
// on the keeper.
func (x *Exchanger) IsKeeper(storeUnreachable bool) bool {
	ownRank := keeperRank(x.DataCentre, x.Instance)
	for _, d := range x.RecentDigests() {
		switch {
		case d.DataCentre != x.DataCentre || d.Leaving || d.StoreUnreachable && !storeUnreachable:
		case storeUnreachable && !d.StoreUnreachable, keeperRank(x.DataCentre, d.Instance) < ownRank:
			return false
		}
	}
	return true
}

// keeperRank returns an instance's rank in the choice of the keeper.
func keeperRank(dataCentre, instance string) uint64 {
	return xxhash.Sum64String(dataCentre + "/" + instance)
}
