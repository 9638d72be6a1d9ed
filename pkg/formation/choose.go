package formation

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// minUtilizationForLoad is the share of a model's slots that must be in use
	// before another group of the model may cause a load.
	minUtilizationForLoad = 0.6
	// spareSwitchFactor is how many times greater the need for another model must
	// be before a spare worker loads that model instead of the one that it has.
	spareSwitchFactor = 1.5
)

// demand returns the number of groups that a model needs relative to other
// models. A model's Share is the share of the workers that it needs.
func demand(m catalog.Model) float64 { return m.Share / float64(max(m.Size, 1)) }

// modelsByNeed returns the models sorted by their need for another group, the
// greatest need first. Models without a group come before all others.
func (d *decider) modelsByNeed() []catalog.Model {
	models := slices.Clone(d.Engine.Models)
	slices.SortStableFunc(models, func(a, b catalog.Model) int {
		if x, y := d.groupCounts[a.Name] == 0, d.groupCounts[b.Name] == 0; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(demand(b)/float64(d.groupCounts[b.Name]+1), demand(a)/float64(d.groupCounts[a.Name]+1))
	})
	return models
}

// feasibility states whether a group can be formed.
type feasibility int

const (
	infeasible feasibility = iota // there are not enough suitable workers
	waiting                       // it has to wait for running loads or returning workers
	feasible                      // it can be formed now
)

// candidate is a choice of free workers of one domain for a new group.
type candidate struct {
	members        []*Worker // the first is the head
	withoutWeights []string  // members without the model's weights
	newLoads       int       // loads that have to begin; the other members without weights are loading already
	spares         int       // free workers that remain in the domain
}

// betterThan reports whether c is preferred to other. It prefers fewer members
// without weights, then a domain that keeps a spare, then the domain with the
// fewest free workers, so that other domains keep enough for large groups.
func (c candidate) betterThan(other candidate) bool {
	switch {
	case len(c.withoutWeights) != len(other.withoutWeights):
		return len(c.withoutWeights) < len(other.withoutWeights)
	case (c.spares > 0) != (other.spares > 0):
		return c.spares > 0
	}
	return c.spares < other.spares
}

// formGroup starts to form one more group and reports whether it did.
func (d *decider) formGroup() bool {
	models := d.modelsByNeed()
	for i, model := range models {
		best, result := d.bestCandidate(model, models[:i])
		if result == waiting {
			return false // a model with less need would take the workers that this one waits for
		}
		if result == infeasible {
			continue
		}
		d.epoch++
		f := FormingGroup{
			Group: d.NewGroupName(model.Name), Epoch: d.epoch, Model: model.Name, Loading: best.withoutWeights, Since: d.Now,
			PreviousGroups: map[string]string{}, JoinOrdered: map[string]bool{}, JoinReported: map[string]bool{},
		}
		for _, w := range best.members {
			f.Members = append(f.Members, w.ID)
			f.PreviousGroups[w.ID] = w.Membership.Group
			delete(d.free, w.ID)
			delete(d.decision.Staging, w.ID)
		}
		for _, w := range best.members {
			d.addOrder(d.joinOrder(f, w))
		}
		d.LoadBudget -= best.newLoads
		d.decision.Forming[f.Group] = f
		d.groupCounts[model.Name]++
		d.grouped[best.members[0].Domain] += len(best.members)
		d.addNote(Note{Group: f.Group, Model: f.Model, Event: "formed",
			Detail: fmt.Sprintf("domain %s, %d members, %d loads, %d spare", best.members[0].Domain, len(f.Members), len(f.Loading), best.spares)})
		return true
	}
	return false
}

// bestCandidate returns the best candidate of all domains for a group of a model.
// It leaves workers alone that groups of the models in preferred wait for.
func (d *decider) bestCandidate(model catalog.Model, preferred []catalog.Model) (candidate, feasibility) {
	domains := map[string][]*Worker{}
	for _, id := range sortedKeys(d.free) {
		w := d.free[id]
		domains[w.Domain] = append(domains[w.Domain], w)
	}
	var best candidate
	outcome := infeasible
	for _, domain := range sortedKeys(domains) {
		c, v := d.domainCandidate(model, preferred, domains[domain])
		if v != feasible {
			outcome = max(outcome, v)
			continue
		}
		if outcome != feasible || c.betterThan(best) {
			best, outcome = c, feasible
		}
	}
	return best, outcome
}

// domainCandidate returns the candidate of one domain, whose free workers are given.
func (d *decider) domainCandidate(model catalog.Model, preferred []catalog.Model, workers []*Worker) (candidate, feasibility) {
	leaving := d.leaving[workers[0].Domain]
	switch {
	case len(workers)+leaving < model.Size && !d.Serving && d.hasNewWorkers(workers[0].Domain):
		return candidate{}, waiting // more workers are coming; smaller groups would take them one by one
	case len(workers)+leaving < model.Size:
		return candidate{}, infeasible
	case leaving > 0:
		return candidate{}, waiting // the workers that are leaving their group have the weights
	case d.takesReserve(model, workers[0].Domain):
		d.noteNotFormed(model, workers, "the domain keeps its reserve")
		return candidate{}, infeasible
	}
	slices.SortStableFunc(workers, func(a, b *Worker) int {
		return cmp.Compare(d.joinRank(a, model, preferred), d.joinRank(b, model, preferred))
	})
	c := candidate{members: slices.Clone(workers[:model.Size]), spares: len(workers) - model.Size}
	for _, w := range c.members {
		if w.HasStaged(model.Name) {
			continue
		}
		c.withoutWeights = append(c.withoutWeights, w.ID)
		if !d.hasOrStages(w, model) {
			c.newLoads++
		}
	}
	if v := d.checkLoads(c, model, preferred, workers); v != feasible {
		return candidate{}, v
	}
	// A cold head would limit the request rate of its whole group.
	slices.SortStableFunc(c.members, func(a, b *Worker) int { return cmp.Compare(coldRank(a), coldRank(b)) })
	return c, feasible
}

// checkLoads decides whether the loads that a candidate needs may begin.
func (d *decider) checkLoads(c candidate, model catalog.Model, preferred []catalog.Model, workers []*Worker) feasibility {
	n := c.newLoads
	if n == 0 {
		return feasible
	}
	if d.Serving && d.groupCounts[model.Name] > 0 && d.Utilization != nil && d.Utilization(model.Name) < minUtilizationForLoad {
		d.noteNotFormed(model, workers, "it needs loads, and the model has free slots")
		return infeasible
	}
	if d.breaksPreferred(c, preferred, workers) {
		d.noteNotFormed(model, workers, "it would take workers that have the weights of a model with more need")
		return infeasible
	}
	running := d.runningLoads()
	if n > d.LoadBudget || running > 0 && running+n > d.MaxConcurrentLoads || d.Serving && d.hasNewWorkers(workers[0].Domain) {
		d.noteNotFormed(model, workers, "its loads can't begin yet")
		return waiting
	}
	return feasible
}

// noteNotFormed notes why the free workers of a domain, which are given, don't become a
// group of a model although they are enough for one.
func (d *decider) noteNotFormed(model catalog.Model, free []*Worker, reason string) {
	domain := free[0].Domain
	d.addNote(Note{
		Model: model.Name, Event: "not formed", Reason: reason,
		Detail: fmt.Sprintf("domain %s of %d, %d free", domain, d.decision.DomainSizes[domain], len(free)),
	})
}

// hasNewWorkers reports whether a worker appeared in a domain within newWorkerDelay.
func (d *decider) hasNewWorkers(domain string) bool {
	for i := range d.Workers {
		if w := &d.Workers[i]; w.Domain == domain && d.Now.Sub(w.FirstSeen) < newWorkerDelay {
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

// joinRank returns how well a worker suits a group of the model; lower is better.
// Workers that hold or load a preferred model come last.
func (d *decider) joinRank(w *Worker, model catalog.Model, preferred []catalog.Model) int {
	switch {
	case ModelOf(w.Membership.Group) == model.Name && w.Membership.State != roster.Joining:
		return 0
	case w.HasStaged(model.Name):
		return 1
	case d.hasOrStages(w, model):
		return 2
	case slices.ContainsFunc(preferred, func(m catalog.Model) bool { return d.hasOrStages(w, m) }):
		return 4
	}
	return 3
}

// hasOrStages reports whether a worker has the model's weights or is loading them,
// so that joining a group of the model causes no further load.
func (d *decider) hasOrStages(w *Worker, model catalog.Model) bool {
	return w.HasStaged(model.Name) || d.decision.Staging[w.ID].Model == model.Name
}

// breaksPreferred reports whether a candidate takes workers from a preferred model
// for which all but at most one of a group's workers have or load the weights.
func (d *decider) breaksPreferred(c candidate, preferred []catalog.Model, workers []*Worker) bool {
	for _, model := range preferred {
		before, after := 0, 0
		for _, w := range workers {
			if !d.hasOrStages(w, model) {
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

// prepareSpares lets free workers load a model that their domain has no spare
// for, and puts free workers that already have weights into a group of their own.
// A worker in such a group joins another group of the same model many times faster
// than one that has the weights only on its host.
func (d *decider) prepareSpares() {
	for _, id := range sortedKeys(d.free) {
		w := d.free[id]
		if _, staging := d.decision.Staging[id]; staging || w.Busy || w.Membership.State == roster.Joining || d.leaving[w.Domain] > 0 {
			continue
		}
		if model, reserved := d.reserved[id]; reserved && w.HasStaged(model) {
			continue
		}
		model, ok := d.modelForSpare(w)
		switch {
		case ok && d.LoadBudget > 0 && d.runningLoads() < d.MaxConcurrentLoads:
			d.decision.Staging[id] = Staging{Model: model.Name, Since: d.Now}
			d.LoadBudget--
			d.orderSpareGroup(w, model.Name, true)
		case !ok && w.Membership.State == roster.Alone && len(w.StagedModels) > 0:
			if model, known := d.Engine.Model(w.StagedModels[len(w.StagedModels)-1]); known {
				d.orderSpareGroup(w, model.Name, false)
			}
		}
	}
}

// orderSpareGroup orders a worker to join a group of its own.
func (d *decider) orderSpareGroup(w *Worker, model string, loads bool) {
	d.epoch++
	d.addOrder(Order{
		Worker: w.ID, Operation: Join, Group: spareGroupName(d.NewGroupName(model)), Epoch: d.epoch, Model: model,
		Members: []string{w.ID}, NeedsLoad: loads, Reason: "spare of its domain",
	})
}

// modelForSpare returns the model that a spare worker should load: the one with the most
// members for each spare in its domain. It returns false if the models that the worker
// already has are needed nearly as much, or if another spare has the model.
func (d *decider) modelForSpare(w *Worker) (catalog.Model, bool) {
	var best catalog.Model
	var bestNeed, ownNeed float64
	for _, model := range d.Engine.Models {
		members, spares := d.domainCount(w.Domain, model)
		if d.hasOrStages(w, model) {
			ownNeed = max(ownNeed, float64(members)/float64(spares))
			continue
		}
		holdsNothing := len(w.StagedModels) == 0
		if need := float64(members) / float64(spares+1); (spares == 0 || holdsNothing) && need > bestNeed {
			best, bestNeed = model, need
		}
	}
	return best, bestNeed > 0 && bestNeed > spareSwitchFactor*ownNeed
}

// domainCount returns the number of members of a model's groups in a domain, and
// the number of spares that have or load the model.
func (d *decider) domainCount(domain string, model catalog.Model) (members, spares int) {
	for i := range d.Workers {
		w := &d.Workers[i]
		switch {
		case w.Domain != domain || !w.isPresent():
		case d.free[w.ID] != nil:
			if d.hasOrStages(w, model) {
				spares++
			}
		case ModelOf(w.Membership.Group) == model.Name || d.isFormingMember(w.ID, model.Name):
			members++
		}
	}
	return members, spares
}

// isFormingMember reports whether a worker is a member of a forming group of the model.
func (d *decider) isFormingMember(id, model string) bool {
	for _, f := range d.decision.Forming {
		if f.Model == model && slices.Contains(f.Members, id) {
			return true
		}
	}
	return false
}
