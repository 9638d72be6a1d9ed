package neighbour

import (
	"net/netip"
	"time"
)

// ProcessCount returns the number of processes that may be sending requests,
// including this one.
func (x *Exchanger) ProcessCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.markEnded(now)
	return x.processCount(now)
}

// processCount counts the peers that have not ended. For a data centre whose relay is
// heard, what that counts replaces the own count. A new relay may know few of the others
// yet, so that it is believed only if it counts more. The caller holds the lock.
func (x *Exchanger) processCount(now time.Time) int {
	known := map[string]int{x.DataCentre: 1}
	for _, p := range x.peers {
		if !p.presumedEnded {
			known[p.dataCentre]++
		}
	}
	total := 0
	for dataCentre, count := range known {
		if r, ok := x.processes[dataCentre]; ok && now.Sub(r.receivedAt) < processesFor && (dataCentre != x.DataCentre || !x.relaying) {
			if now.Sub(r.since) < countedFor {
				r.count = max(r.count, count)
			}
			count = r.count
		}
		total += count
	}
	return total
}

// markEnded marks the instances that have sent no digest for countedFor as ended.
// If this instance receives no digests from most of the others, it may itself be
// cut off while they still run. It then marks only those that announced that they
// are leaving. Instances that send their digests only to a relay are marked only
// by that. The caller holds the lock.
func (x *Exchanger) markEnded(now time.Time) {
	known, reachable := 1, 1 // this instance
	for _, p := range x.peers {
		if p.presumedEnded || p.receivedAt.IsZero() || !x.expectsDigests(p) {
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
		if !x.expectsDigests(p) || x.relaying && now.Sub(x.relaySince) < countedFor {
			continue
		}
		if p.receivedAt.IsZero() {
			p.presumedEnded = p.presumedEnded || reachable > 1 // the address may belong to a machine that no longer exists
			continue
		}
		p.presumedEnded = p.presumedEnded || p.lastDigest.Leaving || 2*reachable > known
	}
}

// expectsDigests reports whether a running peer sends its digests to this instance. The
// caller holds the lock.
func (x *Exchanger) expectsDigests(p *peer) bool {
	switch {
	case !x.usesRelays():
		return true
	case x.relaying:
		return p.dataCentre == x.DataCentre || p.dataCentre == ""
	}
	// A relay would send to this instance. If there is none, the others must be out of
	// reach, since this instance has sent to all of them by now.
	return time.Since(x.relayHeard[x.DataCentre]) > countedFor && time.Since(x.Started) > countedFor
}

// IsKeeper reports whether this instance is the keeper: the one among the
// reachable instances of its data centre that manages its groups. storeUnreachable
// says whether this instance has not reached the platform's store for a while. The
// keeper is the instance with the lowest rank among those that have reached the
// store, or among all if none has. Instances that receive each other's digests agree
// on the keeper. While there are relays, an instance receives no digests from most
// others; it becomes the keeper only if none that precedes it has done so for a while.
func (x *Exchanger) IsKeeper(storeUnreachable bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	ownRank := x.ownRank()
	for _, p := range x.peers {
		if !p.isRecent(now) || p.dataCentre != x.DataCentre {
			continue
		}
		d := &p.lastDigest
		switch {
		case d.Leaving || d.StoreUnreachable && !storeUnreachable:
		case storeUnreachable && !d.StoreUnreachable:
			return false
		case p.rank < ownRank:
			x.lowerHeard = now
			return false
		}
	}
	if !x.usesRelays() || x.relaying {
		return true
	}
	waitingSince := x.lowerHeard
	if x.Started.After(waitingSince) {
		waitingSince = x.Started
	}
	return x.topology(now, func(p *peer) bool { return p.lastDigest.StoreUnreachable && !storeUnreachable }).mayClaim(now.Sub(waitingSince))
}

// ownRank returns this instance's place in the choice of the keeper.
func (x *Exchanger) ownRank() uint64 { return rankOf(x.DataCentre, x.Instance, x.Weight) }

// HearsRelay reports whether the relay of this instance's data centre was heard lately.
func (x *Exchanger) HearsRelay() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.relayHeard[x.DataCentre]) <= reachableFor
}

// usesRelays reports whether there are too many instances for each to send its digest
// to all others. It is counted anew after each Interval. The caller holds the lock.
func (x *Exchanger) usesRelays() bool {
	if len(x.peers) <= meshPeers {
		return false
	}
	if now := time.Now(); x.modeAt.IsZero() || now.Sub(x.modeAt) >= Interval {
		x.modeAt, x.manyProcesses = now, x.processCount(now)-1 > meshPeers
	}
	return x.manyProcesses
}

// UsesRelays reports whether digests go to the relays of the data centres, rather than to
// all instances.
func (x *Exchanger) UsesRelays() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.usesRelays()
}

// RelayLag returns how old the loads in a relay's digest may be, as long as none is lost:
// one interval to the relay and one from it. It is 0 if all instances send to each other.
func (x *Exchanger) RelayLag() time.Duration {
	if !x.UsesRelays() {
		return 0
	}
	return 2 * relayInterval
}

// isRelay reports whether a peer is heard as the relay of its data centre.
func (p *peer) isRelay(now time.Time) bool { return p.isRecent(now) && p.lastDigest.Relay }

// noteRelays records what a relay's digest says about its data centre and the others.
// The caller holds the lock.
func (x *Exchanger) noteRelays(d Digest, now time.Time) {
	if !d.Relay {
		return
	}
	if x.relayHeard == nil {
		x.relayHeard, x.processes = map[string]time.Time{}, map[string]relayedCount{}
	}
	x.relayHeard[d.DataCentre] = now
	x.noteCount(d, now)
	for i := range d.Relayed {
		r := &d.Relayed[i]
		x.fillPlaces(r, now)
		r.BufferedFor = d.BufferedFor
		x.noteCount(*r, now)
	}
}

// noteCount stores the number of processes that a relay reported. The caller holds the lock.
func (x *Exchanger) noteCount(d Digest, now time.Time) {
	next := relayedCount{relay: d.Instance, started: d.Started, since: now, count: d.Processes, receivedAt: now}
	if last, ok := x.processes[d.DataCentre]; ok && last.relay == next.relay && last.started == next.started {
		next.since = last.since
	}
	x.processes[d.DataCentre] = next
}

// countsLoads reports whether the loads in a digest are not part of another digest's. The
// caller holds the lock.
func (x *Exchanger) countsLoads(d Digest) bool {
	switch {
	case !x.usesRelays() || x.relaying:
		return !d.Relay || d.DataCentre != x.DataCentre || !x.relaying
	case d.DataCentre != x.DataCentre:
		return d.Relay
	}
	return d.Relay || time.Since(x.relayHeard[x.DataCentre]) > reachableFor
}

// topology returns what decides where digests are sent. absent reports whether a peer is
// unable to become a keeper for another reason than its end. The caller holds the lock.
func (x *Exchanger) topology(now time.Time, absent func(*peer) bool) topology {
	t := topology{
		dataCentre: x.DataCentre, rank: x.ownRank(), relay: x.relaying, tick: x.seq,
		fresh: x.relaying && now.Sub(x.relaySince) < freshFor,
		nodes: make([]node, 0, len(x.peers)),
		noRelay: func(dataCentre string) time.Duration {
			since := x.relayHeard[dataCentre]
			if x.Started.After(since) {
				since = x.Started
			}
			return now.Sub(since)
		},
	}
	for _, p := range x.peers {
		t.nodes = append(t.nodes, node{
			address: p.address, dataCentre: p.dataCentre, rank: p.rank,
			heard: p.isRecent(now), relay: p.isRelay(now), absent: p.presumedEnded || p.lastDigest.Leaving || absent(p),
			due: now.Sub(p.lastSentAt) >= unreachableInterval,
		})
	}
	return t
}

// relayDatagrams returns the datagrams of a digest where there are relays. A relay sends
// one digest for all instances of its data centre. The caller holds the lock.
func (x *Exchanger) relayDatagrams(d Digest, now time.Time) []datagram {
	if relaying := d.Acting && !d.Leaving; relaying != x.relaying {
		x.relaying, x.relaySince = relaying, now
	}
	t := x.topology(now, func(*peer) bool { return false })
	targets := t.targets()
	for _, to := range targets {
		x.peers[to].lastSentAt = now
	}
	if !x.relaying {
		data, ok := encodeFitting(d)
		if !ok {
			return nil
		}
		datagrams := make([]datagram, 0, len(targets))
		for _, to := range targets {
			datagrams = append(datagrams, datagram{to: to, data: data})
		}
		return datagrams
	}
	return x.encodeForTargets(x.asRelay(d, now), targets, now)
}

// asRelay returns the digest of this relay for its whole data centre, apart from the
// loads and echoes, which differ by receiver. The caller holds the lock.
func (x *Exchanger) asRelay(d Digest, now time.Time) Digest {
	d.Relay, d.Processes = true, 1
	var members []Digest
	for _, p := range x.peers {
		if p.dataCentre == x.DataCentre && !p.presumedEnded {
			d.Processes++
		}
		if p.isRecent(now) && p.dataCentre == x.DataCentre {
			members = append(members, p.lastDigest)
		}
	}
	summarize(&d, members)
	if d.Keeper {
		d.PlacesVersion = placesVersion(d.Places)
		if d.HasPlaces = x.ownTurns.include(d.PlacesVersion, x.seq); !d.HasPlaces {
			d.Places = nil
		}
	}
	return d
}

// encodeForTargets encodes a relay's digest for each of its targets. The caller holds
// the lock.
func (x *Exchanger) encodeForTargets(d Digest, targets []netip.Addr, now time.Time) []datagram {
	echoes := map[string]Echo{}
	for _, e := range d.Echoes {
		echoes[e.Instance] = e
	}
	sum, limits := loadSum{}, limitSum{}
	sum.add(d.Load)
	limits.add(d.Limits, 0)
	for _, p := range x.peers {
		if p.isRecent(now) && p.dataCentre == x.DataCentre && !p.isRelay(now) {
			sum.add(p.lastDigest.Load)
			limits.add(p.lastDigest.Limits, now.Sub(p.receivedAt)+p.lastDigest.BufferedFor)
		}
	}
	relayed := x.relayed(now, x.seq)
	datagrams := make([]datagram, 0, len(targets))
	for _, to := range targets {
		p := x.peers[to]
		one := d
		one.Echoes, one.Load, one.Limits = nil, nil, limits.without(nil)
		if p.dataCentre == x.DataCentre {
			one.Relayed = relayed
			if e, ok := echoes[p.instance]; ok {
				one.Echoes = []Echo{e}
			}
			if p.isRecent(now) && !p.isRelay(now) {
				one.Load = sum.without(p.lastDigest.Load)
				one.Limits = limits.without(p.lastDigest.Limits)
			}
		}
		if one.Load == nil {
			one.Load = sum.without(nil)
		}
		if data, ok := encodeFitting(one); ok {
			datagrams = append(datagrams, datagram{to: to, data: data})
		}
	}
	return datagrams
}
