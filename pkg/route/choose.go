package route

import (
	"math"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

const retryWhenFull = time.Second

// Choose returns where a request runs. When nothing takes it, the decision is
// zero and the refusal says why.
func (v *View) Choose(r *Request) (Decision, *Refusal) {
	c := v.route(r.Account, r.Model)
	if c == nil {
		return Decision{}, refuse(r, ReasonNotAllowed, 0)
	}
	own, reason, ok := v.pick(c.own, r)
	within := time.Duration(math.MaxInt64)
	if ok {
		within = v.workWith(own, r)
	}
	if !r.Forwarded && within > v.tuning.SpillWork {
		if i, found := v.spill(c.foreign, r, within); found {
			return v.decide(i, r, ReasonSpill), nil
		}
	}
	if ok {
		return v.decide(own, r, reason), nil
	}
	return Decision{}, v.refusal(c, r)
}

func (v *View) decide(i int32, r *Request, reason Reason) Decision {
	g := v.groups[i]
	cached := g.cachedTokens(r)
	return Decision{
		Group:        g.Name,
		Epoch:        g.Epoch,
		Backend:      g.Backend,
		DataCentre:   g.DataCentre,
		Reason:       reason,
		CachedTokens: cached,
		Work:         g.work + tokensTime(r.PromptTokens-cached, g.prefillRate()),
	}
}

func (g *group) cachedTokens(r *Request) int {
	if len(r.Blocks) == 0 {
		return 0
	}
	return r.PromptTokens * g.Digest.Match(r.Blocks) / len(r.Blocks)
}

func (v *View) takes(g *group, r *Request) bool {
	need := limit.Amount{Requests: 1, Tokens: r.Tokens()}
	return g.open && (need.FitsIn(g.Available) || !v.on(guardRoom))
}

// underBound reports whether the group's load is not far above the mean, so
// that work with a common prefix does not pile up on one backend server.
func (v *View) underBound(i int32, s survey) bool {
	g := v.groups[i]
	mean := s.load / float64(s.eligible)
	bears := float64(max(g.Capacity.Requests, 1))
	return float64(g.requests()) <= v.tuning.LoadBound*mean*bears+1 || !v.on(guardBound)
}

// survey is one pass over the candidates.
type survey struct {
	eligible int
	load     float64 // sum over the eligible
	best     int32   // with the longest cached prefix
	match    int
	home     int32 // first by rendezvous of the prompt's first block
	homeRank uint64
}

func (v *View) survey(list []int32, r *Request) survey {
	s := survey{best: -1, home: -1}
	for _, i := range list {
		g := v.groups[i]
		if !v.takes(g, r) || g.Backend == r.AvoidBackend {
			continue
		}
		s.eligible++
		s.load += g.load
		if len(r.Blocks) == 0 {
			continue
		}
		match := g.Digest.Match(r.Blocks)
		if match > s.match || match == s.match && s.best >= 0 && g.work < v.groups[s.best].work {
			s.best, s.match = i, match
		}
		if rank := mix(g.seed ^ r.Blocks[0]); s.home < 0 || rank > s.homeRank {
			s.home, s.homeRank = i, rank
		}
	}
	return s
}

// pick chooses among the candidates of one data centre.
func (v *View) pick(list []int32, r *Request) (int32, Reason, bool) {
	if !v.ownOpen {
		return 0, 0, false
	}
	s := v.survey(list, r)
	if s.eligible == 0 {
		return v.onlyAvoided(list, r)
	}
	if s.best >= 0 && s.match >= v.tuning.MinMatch && v.underBound(s.best, s) {
		return s.best, ReasonPrefix, true
	}
	if s.match == 0 && s.home >= 0 && v.underBound(s.home, s) {
		return s.home, ReasonHome, true
	}
	first := v.nth(list, r, int(r.Random%uint64(s.eligible)))
	if s.eligible == 1 {
		return first, ReasonOnly, true
	}
	step := 1 + int((r.Random>>32)%uint64(s.eligible-1))
	second := v.nth(list, r, (int(r.Random%uint64(s.eligible))+step)%s.eligible)
	if v.workWith(second, r) < v.workWith(first, r) {
		first = second
	}
	return first, ReasonLeastWork, true
}

// onlyAvoided returns the group to avoid when no other one is eligible.
func (v *View) onlyAvoided(list []int32, r *Request) (int32, Reason, bool) {
	for _, i := range list {
		if v.takes(v.groups[i], r) {
			return i, ReasonOnly, true
		}
	}
	return 0, 0, false
}

// nth returns the n-th eligible candidate.
func (v *View) nth(list []int32, r *Request, n int) int32 {
	for _, i := range list {
		g := v.groups[i]
		if !v.takes(g, r) || g.Backend == r.AvoidBackend {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

func (v *View) workWith(i int32, r *Request) time.Duration {
	g := v.groups[i]
	return g.work + tokensTime(r.PromptTokens-g.cachedTokens(r), g.prefillRate())
}

// spill chooses a group in another data centre whose work is less than within,
// within the part of that data centre's room that this entry instance may use.
func (v *View) spill(list []int32, r *Request, within time.Duration) (int32, bool) {
	need := limit.Amount{Requests: 1, Tokens: r.Tokens()}
	best := int32(-1)
	bestLeft := 0.0
	for _, i := range list {
		g := v.groups[i]
		if !g.open || g.Backend == r.AvoidBackend || !need.FitsIn(g.Capacity) {
			continue
		}
		left := v.spillLeft(g.DataCentre, r, within)
		if left >= 1 && (left > bestLeft || left == bestLeft && g.work < v.groups[best].work) {
			best, bestLeft = i, left
		}
	}
	return best, best >= 0
}

// spillLeft returns how many requests this entry instance may still forward.
func (v *View) spillLeft(name string, r *Request, within time.Duration) float64 {
	for i := range v.dataCentres {
		dc := &v.dataCentres[i]
		if dc.Name != name {
			continue
		}
		work := dc.Work + tokensTime(r.PromptTokens, assumedPrefillRate)
		if dc.Drained || !dc.Reachable || work >= within {
			return 0
		}
		if !v.on(guardSpill) {
			return 1
		}
		if dc.FreeSlots < 1 || dc.Ramp <= 0 {
			return 0
		}
		// One request is always allowed, so that a neighbour in cold start, whose
		// room is a single request, is found at all.
		allowed := float64(dc.FreeSlots) * dc.Ramp * v.tuning.SpillShare / float64(v.senders)
		return max(allowed, 1) - float64(dc.Spilled)
	}
	return 0
}

// refusal finds out why nothing takes the request.
func (v *View) refusal(c *candidates, r *Request) *Refusal {
	need := limit.Amount{Requests: 1, Tokens: r.Tokens()}
	reason := ReasonClosed
	lists := [2][]int32{c.own, c.foreign}
	if r.Forwarded {
		lists[1] = nil
	}
	for _, list := range lists {
		for _, i := range list {
			g := v.groups[i]
			switch {
			case !g.open:
			case need.FitsIn(g.Capacity):
				return refuse(r, ReasonFull, retryWhenFull)
			default:
				reason = ReasonTooLarge
			}
		}
	}
	return refuse(r, reason, retryWhenFull)
}

func refuse(r *Request, reason Reason, after time.Duration) *Refusal {
	return &Refusal{Reason: reason, Account: r.Account, Model: r.Model, RetryAfter: after}
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
