package neighbour

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// With up to meshPeers other instances, each instance sends its digest to all others.
// With more, the traffic and work of that would grow with the square of their number.
// Then the keeper of each data centre is its relay: the other instances send only to
// it, and it sends one digest for all of them to them and to the other relays.
const meshPeers = 16

const (
	// relayInterval replaces Interval while there are relays.
	relayInterval = 2 * Interval
	// firstCandidates is the number of instances that a digest is sent to while no
	// relay of a data centre is heard. It doubles each second.
	firstCandidates = 3
	// claimDelay is how long the second instance in the order of ranks waits for a
	// relay before it becomes one; claimStep is added for each doubling of the position.
	// The first that is alive becomes the relay before the others have waited.
	claimDelay = reachableFor
	claimStep  = 400 * time.Millisecond
	// unheardFactor is how many times less often a relay sends to an instance of its
	// data centre that it doesn't hear.
	unheardFactor = 5
	// freshFor is how long a new relay sends each digest also to the instances that it
	// doesn't hear, since they don't know of it yet.
	freshFor = 2 * time.Second
	// processesFor is how long the number of processes counts that a relay reported.
	processesFor = 10 * time.Second
)

// node is what an instance knows of a peer when it decides whom to send a digest to.
type node struct {
	address    netip.Addr
	dataCentre string // empty if not known
	rank       uint64 // order in which the instances of a data centre become its keeper
	heard      bool   // a digest was received within reachableFor
	relay      bool   // is heard, and is a relay
	absent     bool   // is leaving, has ended, or is unable to be the keeper
	due        bool   // nothing was sent to it for unreachableInterval
}

// topology is the state from which the targets of a digest follow.
type topology struct {
	dataCentre string
	rank       uint64
	relay      bool // this instance is the relay of its data centre
	fresh      bool // it has become that lately
	tick       uint64
	nodes      []node
	// noRelay returns for how long no relay of a data centre was heard.
	noRelay func(dataCentre string) time.Duration
}

// targets returns the addresses to send the next digest to. A member sends to the
// relay of its data centre. A relay sends to the members of its data centre and to the
// other relays. Where no relay is heard, those that are next in the order of ranks get
// the digest, so that the first of them that is alive learns who is there.
func (t topology) targets() []netip.Addr {
	var targets []netip.Addr
	candidates := map[string][]node{}
	hasRelay := map[string]bool{}
	for _, n := range t.nodes {
		switch {
		case n.dataCentre == "":
			if n.due {
				targets = append(targets, n.address)
			}
		case t.relay && n.dataCentre == t.dataCentre:
			if n.heard || t.fresh || t.tick%unheardFactor == 0 {
				targets = append(targets, n.address)
			}
		case n.relay:
			if t.relay || n.dataCentre == t.dataCentre {
				targets = append(targets, n.address)
			}
			hasRelay[n.dataCentre] = true
		case !n.absent && (t.relay || n.dataCentre == t.dataCentre):
			candidates[n.dataCentre] = append(candidates[n.dataCentre], n)
		}
	}
	for dataCentre, nodes := range candidates {
		if hasRelay[dataCentre] || t.relay && t.tick%unheardFactor != 0 {
			continue
		}
		slices.SortFunc(nodes, func(a, b node) int { return cmp.Compare(a.rank, b.rank) })
		doublings := min(int(t.noRelay(dataCentre)/time.Second), 16)
		for _, n := range nodes[:min(firstCandidates<<doublings, len(nodes))] {
			targets = append(targets, n.address)
		}
	}
	return targets
}

// mayClaim reports whether an instance that hears no instance of a lower rank may
// become the relay. waited is the time since it last heard one.
func (t topology) mayClaim(waited time.Duration) bool {
	before := 0
	for _, n := range t.nodes {
		if n.dataCentre == t.dataCentre && n.rank < t.rank && !n.absent {
			before++
		}
	}
	return before == 0 || waited >= claimDelay+time.Duration(bits.Len(uint(before)))*claimStep
}
