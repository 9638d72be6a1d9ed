package formation

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// loadWorth is the part of a model's places that must be taken for another
	// group to be worth a load.
	loadWorth = 0.6
	// switchFactor is how many times as much another model must need a domain's
	// only spare before that one loads it.
	switchFactor = 1.5
)

// demand is the number of a model's groups, relative to that of other models:
// its share says which part of the workers it needs.
func demand(m catalog.Model) float64 { return m.Share / float64(max(m.Size, 1)) }

// wanted returns the models in the order in which another group of each serves
// most. A model without any group goes first.
func (d *decider) wanted() []catalog.Model {
	models := slices.Clone(d.Engine.Models)
	slices.SortStableFunc(models, func(a, b catalog.Model) int {
		if x, y := d.counts[a.Name] == 0, d.counts[b.Name] == 0; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(demand(b)/float64(d.counts[b.Name]+1), demand(a)/float64(d.counts[a.Name]+1))
	})
	return models
}

// verdict tells whether a group can be formed.
type verdict int

const (
	none  verdict = iota // there are no workers for it
	held                 // it has to wait for loads that run, or for workers that return
	found                // it can be formed now
)

// candidate is a list of free workers of one domain for one group.
type candidate struct {
	members []*Worker // the first is the head
	slow    []string  // members without the model's weights
	loads   int       // loads that those begin; the others have one under way
	spare   int       // free workers that the domain keeps
}

// better prefers fewer loads, then a domain that keeps a spare, then the fullest
// domain, so that the others stay free for large groups.
func (c candidate) better(other candidate) bool {
	switch {
	case len(c.slow) != len(other.slow):
		return len(c.slow) < len(other.slow)
	case (c.spare > 0) != (other.spare > 0):
		return c.spare > 0
	}
	return c.spare < other.spare
}

// form decides on one more group and reports whether it found one.
func (d *decider) form() bool {
	models := d.wanted()
	for i, model := range models {
		best, found := d.candidate(model, models[:i])
		if found == held {
			return false // a lesser model would take its workers meanwhile
		}
		if found == none {
			continue
		}
		d.epoch++
		f := FormingGroup{
			Group: d.NewGroupName(model.Name), Epoch: d.epoch, Model: model.Name, Loading: best.slow, Since: d.Now,
			PreviousGroups: map[string]string{}, JoinOrdered: map[string]bool{}, JoinReported: map[string]bool{},
		}
		for _, w := range best.members {
			f.Members = append(f.Members, w.ID)
			f.PreviousGroups[w.ID] = w.Membership.Group
			delete(d.free, w.ID)
			delete(d.d.Staging, w.ID)
		}
		for _, w := range best.members {
			d.order(d.join(f, w))
		}
		d.LoadBudget -= best.loads
		d.d.Forming[f.Group] = f
		d.counts[model.Name]++
		d.note(Note{Group: f.Group, Model: f.Model, Event: "formed",
			Detail: fmt.Sprintf("domain %s, %d members, %d loads, %d spare", best.members[0].Domain, len(f.Members), len(f.Loading), best.spare)})
		return true
	}
	return false
}

// candidate returns the workers for a group of a model that need the fewest
// loads. What groups of the models in better wait for is left to them.
func (d *decider) candidate(model catalog.Model, better []catalog.Model) (candidate, verdict) {
	domains := map[string][]*Worker{}
	for _, id := range sortedKeys(d.free) {
		w := d.free[id]
		domains[w.Domain] = append(domains[w.Domain], w)
	}
	var best candidate
	outcome := none
	for _, domain := range sortedKeys(domains) {
		c, v := d.pick(model, better, domains[domain])
		if v != found {
			outcome = max(outcome, v)
			continue
		}
		if outcome != found || c.better(best) {
			best, outcome = c, found
		}
	}
	return best, outcome
}

func (d *decider) pick(model catalog.Model, better []catalog.Model, workers []*Worker) (candidate, verdict) {
	emptying := d.emptying[workers[0].Domain]
	switch {
	case len(workers)+emptying < model.Size:
		return candidate{}, none
	case emptying > 0:
		return candidate{}, held // the others have the weights
	}
	slices.SortStableFunc(workers, func(a, b *Worker) int {
		return cmp.Compare(d.joinRank(a, model, better), d.joinRank(b, model, better))
	})
	c := candidate{members: slices.Clone(workers[:model.Size]), spare: len(workers) - model.Size}
	for _, w := range c.members {
		if w.HasStaged(model.Name) {
			continue
		}
		c.slow = append(c.slow, w.ID)
		if !d.warm(w, model) {
			c.loads++
		}
	}
	if v := d.mayLoad(c, model, better, workers); v != found {
		return candidate{}, v
	}
	// A cold head would hold its group's rate down.
	slices.SortStableFunc(c.members, func(a, b *Worker) int { return cmp.Compare(coldRank(a), coldRank(b)) })
	return c, found
}

// mayLoad decides whether the loads that a candidate needs may begin.
func (d *decider) mayLoad(c candidate, model catalog.Model, better []catalog.Model, workers []*Worker) verdict {
	n := c.loads
	if n == 0 {
		return found
	}
	if d.Serving && d.counts[model.Name] > 0 && d.Utilization != nil && d.Utilization(model.Name) < loadWorth {
		return none
	}
	if d.robs(c, better, workers) {
		return none
	}
	running := d.loading()
	if n > d.LoadBudget || running > 0 && running+n > d.MaxConcurrentLoads || d.Serving && d.unsettled(workers[0].Domain) {
		return held
	}
	return found
}

// unsettled reports whether workers have come to a domain just now.
func (d *decider) unsettled(domain string) bool {
	for i := range d.Workers {
		if w := &d.Workers[i]; w.Domain == domain && d.Now.Sub(w.FirstSeen) < quietTime {
			return true
		}
	}
	return false
}

func coldRank(w *Worker) int {
	if w.Cold {
		return 1
	}
	return 0
}

// joinRank orders workers by how well they suit a group of the model.
func (d *decider) joinRank(w *Worker, model catalog.Model, better []catalog.Model) int {
	switch {
	case ModelOf(w.Membership.Group) == model.Name && w.Membership.State != roster.Joining:
		return 0
	case w.HasStaged(model.Name):
		return 1
	case d.warm(w, model):
		return 2
	case slices.ContainsFunc(better, func(m catalog.Model) bool { return d.warm(w, m) }):
		return 4
	}
	return 3
}

// warm reports whether a worker joins a group of the model without a load of its own.
func (d *decider) warm(w *Worker, model catalog.Model) bool {
	return w.HasStaged(model.Name) || d.d.Staging[w.ID].Model == model.Name
}

// robs reports whether a candidate takes workers that a group of a better model
// has ready but for one.
func (d *decider) robs(c candidate, better []catalog.Model, workers []*Worker) bool {
	for _, model := range better {
		before, after := 0, 0
		for _, w := range workers {
			if !d.warm(w, model) {
				continue
			}
			before++
			if !slices.Contains(c.members, w) {
				after++
			}
		}
		if before >= model.Size-1 && after < model.Size-1 {
			return true
		}
	}
	return false
}

// prepare lets free workers hold a model ready, those first whose domain would
// have to wait for a load after a loss. A worker in a group of its own joins
// another group of the same model many times faster than one that has the
// weights on its host only.
func (d *decider) prepare() {
	for _, id := range sortedKeys(d.free) {
		w := d.free[id]
		if _, staging := d.d.Staging[id]; staging || w.Busy || w.Membership.State == roster.Joining || d.emptying[w.Domain] > 0 {
			continue
		}
		model, ok := d.needed(w)
		switch {
		case ok && d.LoadBudget > 0 && d.loading() < d.MaxConcurrentLoads:
			d.d.Staging[id] = Staging{Model: model.Name, Since: d.Now}
			d.LoadBudget--
			d.park(w, model.Name, true)
		case !ok && w.Membership.State == roster.Alone && len(w.StagedModels) > 0:
			if model, known := d.Engine.Model(w.StagedModels[len(w.StagedModels)-1]); known {
				d.park(w, model.Name, false)
			}
		}
	}
}

// park orders a worker into a group of its own.
func (d *decider) park(w *Worker, model string, loads bool) {
	d.epoch++
	d.order(Order{
		Worker: w.ID, Operation: Join, Group: spareName(d.NewGroupName(model)), Epoch: d.epoch, Model: model,
		Members: []string{w.ID}, NeedsLoad: loads, Reason: "spare of its domain",
	})
}

// needed returns the model that a spare worker had better hold: the one with the
// most members in its domain's groups for each spare that holds it.
func (d *decider) needed(w *Worker) (catalog.Model, bool) {
	var best catalog.Model
	var bestNeed, ownNeed float64
	for _, model := range d.Engine.Models {
		members, spares := d.domainCount(w.Domain, model)
		if d.warm(w, model) {
			ownNeed = max(ownNeed, float64(members)/float64(spares))
			continue
		}
		if need := float64(members) / float64(spares+1); spares == 0 && need > bestNeed {
			best, bestNeed = model, need
		}
	}
	return best, bestNeed > 0 && bestNeed > switchFactor*ownNeed
}

// domainCount counts the members of a model's groups in a domain, and the spares
// that hold it.
func (d *decider) domainCount(domain string, model catalog.Model) (members, spares int) {
	for i := range d.Workers {
		w := &d.Workers[i]
		switch {
		case w.Domain != domain || w.Lost:
		case d.free[w.ID] != nil:
			if d.warm(w, model) {
				spares++
			}
		case ModelOf(w.Membership.Group) == model.Name || d.forms(w.ID, model.Name):
			members++
		}
	}
	return members, spares
}

// forms reports whether a worker is to be a member of a model's group.
func (d *decider) forms(id, model string) bool {
	for _, f := range d.d.Forming {
		if f.Model == model && slices.Contains(f.Members, id) {
			return true
		}
	}
	return false
}
