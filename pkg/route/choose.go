package route

import (
	"math"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

const refusalRetryAfter = time.Second

// Choose returns where a request runs. If no group accepts it, the decision is zero and
// the refusal says why.
func (v *View) Choose(r *Request) (Decision, *Refusal) {
	c := v.candidatesFor(r.Account, r.Model)
	if c == nil {
		return Decision{}, newRefusal(r, ReasonNotAllowed, 0)
	}
	local, reason, ok := v.chooseLocal(c.local, r)
	localWork := time.Duration(math.MaxInt64)
	if ok {
		localWork = v.estimatedWork(local, r)
	}
	if !r.Forwarded && localWork > v.tuning.SpillWork {
		if i, found := v.chooseSpill(c.remote, r, localWork); found {
			return v.newDecision(i, r, ReasonSpill), nil
		}
	}
	if ok {
		return v.newDecision(local, r, reason), nil
	}
	return Decision{}, v.refusalFor(c, r)
}

func (v *View) newDecision(i int32, r *Request, reason Reason) Decision {
	g := v.groups[i]
	cached := g.cachedTokens(r)
	return Decision{
		Group:        g.Name,
		Epoch:        g.Epoch,
		Backend:      g.Backend,
		DataCentre:   g.DataCentre,
		Reason:       reason,
		CachedTokens: cached,
		Work:         g.work + prefillTime(r.PromptTokens-cached, g.prefillTokensPerSec()),
	}
}

func (g *group) cachedTokens(r *Request) int {
	if len(r.Blocks) == 0 {
		return 0
	}
	return r.PromptTokens * g.Digest.Match(r.Blocks) / len(r.Blocks)
}

func (v *View) accepts(g *group, r *Request) bool {
	need := limit.Amount{Requests: 1, Tokens: r.Tokens()}
	return g.open && (need.FitsIn(g.Available) || !v.ruleEnabled(ruleCapacity))
}

// withinLoadBound reports whether the group's load is at most a multiple of the mean
// load, plus one request.
// Without this bound, requests with a common prefix would overload one backend server.
func (v *View) withinLoadBound(i int32, s candidateStats) bool {
	g := v.groups[i]
	mean := s.totalLoad / float64(s.eligible)
	capacity := float64(max(g.Capacity.Requests, 1))
	return float64(g.estimatedRequests()) <= v.tuning.LoadBound*mean*capacity+1 || !v.ruleEnabled(ruleLoadBound)
}

// candidateStats is the result of one pass over a list of candidates.
type candidateStats struct {
	eligible      int
	totalLoad     float64 // sum of the loads of the eligible groups
	bestMatch     int32   // index of the group with the longest cached prefix; -1 if none
	matchedBlocks int     // length of that prefix
	home          int32   // index of the group that rendezvous hashing maps the first block to; -1 if none
	homeRank      uint64  // rendezvous hash of that group
}

func (v *View) stats(list []int32, r *Request) candidateStats {
	s := candidateStats{bestMatch: -1, home: -1}
	for _, i := range list {
		g := v.groups[i]
		if !v.accepts(g, r) || g.Backend == r.AvoidBackend {
			continue
		}
		s.eligible++
		s.totalLoad += g.load
		if len(r.Blocks) == 0 {
			continue
		}
		match := g.Digest.Match(r.Blocks)
		if match > s.matchedBlocks || match == s.matchedBlocks && s.bestMatch >= 0 && g.work < v.groups[s.bestMatch].work {
			s.bestMatch, s.matchedBlocks = i, match
		}
		if rank := mix(g.nameHash ^ r.Blocks[0]); s.home < 0 || rank > s.homeRank {
			s.home, s.homeRank = i, rank
		}
	}
	return s
}

// chooseLocal chooses among the candidates of the own data centre.
func (v *View) chooseLocal(list []int32, r *Request) (int32, Reason, bool) {
	if !v.ownDataCentreOpen {
		return 0, 0, false
	}
	s := v.stats(list, r)
	if s.eligible == 0 {
		return v.chooseAvoided(list, r)
	}
	if s.bestMatch >= 0 && s.matchedBlocks >= v.tuning.MinMatchBlocks && v.withinLoadBound(s.bestMatch, s) {
		return s.bestMatch, ReasonPrefix, true
	}
	if s.matchedBlocks == 0 && s.home >= 0 && v.withinLoadBound(s.home, s) {
		return s.home, ReasonHome, true
	}
	first := v.nthEligible(list, r, int(r.Random%uint64(s.eligible)))
	if s.eligible == 1 {
		return first, ReasonOnly, true
	}
	step := 1 + int((r.Random>>32)%uint64(s.eligible-1))
	second := v.nthEligible(list, r, (int(r.Random%uint64(s.eligible))+step)%s.eligible)
	if v.estimatedWork(second, r) < v.estimatedWork(first, r) {
		first = second
	}
	return first, ReasonLeastWork, true
}

// chooseAvoided returns a group that accepts the request, even if its backend server is
// the one to avoid.
func (v *View) chooseAvoided(list []int32, r *Request) (int32, Reason, bool) {
	for _, i := range list {
		if v.accepts(v.groups[i], r) {
			return i, ReasonOnly, true
		}
	}
	return 0, 0, false
}

// nthEligible returns the n-th eligible candidate.
func (v *View) nthEligible(list []int32, r *Request, n int) int32 {
	for _, i := range list {
		g := v.groups[i]
		if !v.accepts(g, r) || g.Backend == r.AvoidBackend {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

func (v *View) estimatedWork(i int32, r *Request) time.Duration {
	g := v.groups[i]
	return g.work + prefillTime(r.PromptTokens-g.cachedTokens(r), g.prefillTokensPerSec())
}

// chooseSpill chooses a group in another data centre whose mean work is less than
// maxWork, if this entry instance may still forward a request there.
func (v *View) chooseSpill(list []int32, r *Request, maxWork time.Duration) (int32, bool) {
	need := limit.Amount{Requests: 1, Tokens: r.Tokens()}
	best := int32(-1)
	bestAllowance := 0.0
	for _, i := range list {
		g := v.groups[i]
		if !g.open || g.Backend == r.AvoidBackend || !need.FitsIn(g.Capacity) {
			continue
		}
		allowance := v.spillAllowance(g.DataCentre, r, maxWork)
		if allowance >= 1 && (allowance > bestAllowance || allowance == bestAllowance && g.work < v.groups[best].work) {
			best, bestAllowance = i, allowance
		}
	}
	return best, best >= 0
}

// spillAllowance returns how many more requests this entry instance may forward to a
// data centre.
func (v *View) spillAllowance(dataCentre string, r *Request, maxWork time.Duration) float64 {
	for i := range v.dataCentres {
		dc := &v.dataCentres[i]
		if dc.Name != dataCentre {
			continue
		}
		work := dc.Work + prefillTime(r.PromptTokens, defaultPrefillTokensPerSec)
		if dc.Drained || !dc.Reachable || work >= maxWork {
			return 0
		}
		if !v.ruleEnabled(ruleSpillShare) {
			return 1
		}
		if dc.FreeSlots < 1 || dc.Ramp <= 0 {
			return 0
		}
		// Always allow one request. Otherwise a data centre in cold start, which has
		// capacity for a single request, would never get any.
		allowed := float64(dc.FreeSlots) * dc.Ramp * v.tuning.SpillShare / float64(v.entryInstances)
		return max(allowed, 1) - float64(dc.Spilled)
	}
	return 0
}

// refusalFor returns the reason why no group accepts the request.
func (v *View) refusalFor(c *candidates, r *Request) *Refusal {
	need := limit.Amount{Requests: 1, Tokens: r.Tokens()}
	reason := ReasonClosed
	lists := [2][]int32{c.local, c.remote}
	if r.Forwarded {
		lists[1] = nil
	}
	for _, list := range lists {
		for _, i := range list {
			g := v.groups[i]
			switch {
			case !g.open:
			case need.FitsIn(g.Capacity):
				return newRefusal(r, ReasonFull, refusalRetryAfter)
			default:
				reason = ReasonTooLarge
			}
		}
	}
	return newRefusal(r, reason, refusalRetryAfter)
}

func newRefusal(r *Request, reason Reason, after time.Duration) *Refusal {
	return &Refusal{Reason: reason, Account: r.Account, Model: r.Model, RetryAfter: after}
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
