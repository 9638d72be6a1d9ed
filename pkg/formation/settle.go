package formation

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// in reports whether a worker is a member under a group's name and epoch.
func in(w *Worker, group string, epoch int64) bool {
	return w.Membership.State != roster.Alone && w.Membership.Group == group && w.Membership.Epoch == epoch
}

// settleForming brings a group that was decided on nearer to open, or gives it up.
func (d *decider) settleForming(f FormingGroup) {
	ready, waiting := 0, []*Worker(nil)
	for _, id := range f.Members {
		w := d.byID[id]
		switch {
		case w == nil || w.Lost || w.Draining:
			d.giveUp(f, fmt.Sprintf("member %s is lost or leaves", id))
			return
		case !in(w, f.Group, f.Epoch):
			if g := w.Membership.Group; g != f.PreviousGroups[id] && !IsSpare(g) && g != "" {
				d.giveUp(f, fmt.Sprintf("member %s joined %s", id, w.Membership.Group))
				return
			}
			if f.JoinReported[id] {
				d.giveUp(f, fmt.Sprintf("member %s left", id))
				return
			}
			waiting = append(waiting, w)
			continue
		case w.Membership.State == roster.Ready:
			ready++
		}
		f.JoinReported[id] = true
	}
	head := d.byID[f.Members[0]]
	state := head.Membership.State
	switch {
	case in(head, f.Group, f.Epoch) && (state == roster.Open || state == roster.Closing || state == roster.Broken):
		d.settleGroup(f.Group, d.groups[f.Group])
		return
	case len(waiting) > 0 && d.Now.Sub(f.Since) > joinPatience:
		d.giveUp(f, fmt.Sprintf("member %s does not join", waiting[0].ID))
		return
	}
	if d.swappable(f) {
		d.giveUp(f, "workers with the weights are free")
		return
	}
	for _, w := range waiting {
		if !f.JoinOrdered[w.ID] {
			d.order(d.join(f, w))
		}
	}
	if ready == len(f.Members) {
		d.order(Order{Worker: head.ID, Operation: Open, Group: f.Group, Epoch: f.Epoch, Reason: "all members are ready"})
	}
	d.d.Forming[f.Group] = f
	d.counts[f.Model]++
}

// swappable reports whether free workers of the domain could take the places of
// all members that are still loading.
func (d *decider) swappable(f FormingGroup) bool {
	if d.Now.Sub(f.Since) < swapAfter {
		return false
	}
	loading := 0
	domain := d.byID[f.Members[0]].Domain
	for _, id := range f.Loading {
		if d.byID[id].Membership.State != roster.Ready {
			loading++
		}
	}
	if loading == 0 {
		return false
	}
	for _, w := range d.free {
		if w.Domain == domain && w.HasStaged(f.Model) {
			loading--
		}
	}
	return loading <= 0
}

func (d *decider) join(f FormingGroup, w *Worker) Order {
	return Order{
		Worker: w.ID, Operation: Join, Group: f.Group, Epoch: f.Epoch, Model: f.Model, Members: f.Members,
		NeedsLoad: slices.Contains(f.Loading, w.ID),
	}
}

// giveUp ends the forming of a group. Its head leaves first; until then the
// others stay, since an order to open it may still be under way.
func (d *decider) giveUp(f FormingGroup, reason string) {
	d.note(Note{Group: f.Group, Model: f.Model, Event: "given up", Reason: reason})
	if head := d.byID[f.Members[0]]; head != nil && !head.Lost && in(head, f.Group, f.Epoch) {
		d.leave(head, f.Group, f.Epoch, "group was given up")
	}
}

func (d *decider) leave(w *Worker, group string, epoch int64, reason string) {
	if !w.Draining {
		d.emptying[w.Domain]++
	}
	if !w.OrdersKnown {
		return
	}
	d.order(Order{Worker: w.ID, Operation: Leave, Group: group, Epoch: epoch, Reason: reason})
}

// settleGroup looks after a group that is not forming here.
func (d *decider) settleGroup(group string, members []*Worker) {
	model, known := d.Engine.Model(ModelOf(group))
	var head *Worker
	if members[0].Membership.Rank == 0 {
		head = members[0]
	}
	switch {
	case head == nil && d.Headless[group]:
		d.release(members)
		return
	case head == nil || head.Lost:
		d.reserve(model, members)
		return
	}
	epoch := head.Membership.Epoch
	broken, leaving := d.defects(model, members, epoch)
	switch head.Membership.State {
	case roster.Broken:
		d.note(Note{Group: group, Model: model.Name, Event: "dissolved", Reason: "its head is broken"})
		d.release(members)
	case roster.Open:
		switch {
		case !known || broken != "":
			d.note(Note{Group: group, Model: model.Name, Event: "closed", Reason: broken})
			d.order(Order{Worker: head.ID, Operation: Close, Group: group, Epoch: epoch, Cancel: true, Reason: broken})
		case leaving != "" && d.replaceable(model, members):
			d.note(Note{Group: group, Model: model.Name, Event: "closed", Reason: leaving})
			d.order(Order{Worker: head.ID, Operation: Close, Group: group, Epoch: epoch, Reason: leaving})
		default:
			d.counts[model.Name]++
		}
	case roster.Joining, roster.Ready:
		if known && broken == "" && leaving == "" && allReady(members) {
			d.order(Order{Worker: head.ID, Operation: Open, Group: group, Epoch: epoch, Reason: "all members are ready"})
			d.counts[model.Name]++
			return
		}
		d.note(Note{Group: group, Model: model.Name, Event: "dissolved", Reason: cmp.Or(broken, leaving, "nobody forms it")})
		d.leave(head, group, epoch, cmp.Or(broken, leaving, "nobody forms it"))
	}
}

func allReady(members []*Worker) bool {
	return !slices.ContainsFunc(members, func(w *Worker) bool { return w.Membership.State != roster.Ready })
}

// defects tells what is missing in a group, and which member leaves.
func (d *decider) defects(model catalog.Model, members []*Worker, epoch int64) (broken, leaving string) {
	there := map[int]bool{}
	for _, w := range members {
		switch {
		case w.Lost:
			broken = cmp.Or(broken, fmt.Sprintf("member %s is lost", w.ID))
		case w.Membership.Epoch != epoch:
			continue
		case w.Draining:
			leaving = cmp.Or(leaving, fmt.Sprintf("member %s leaves", w.ID))
		}
		there[w.Membership.Rank] = true
	}
	for rank := range model.Size {
		if !there[rank] {
			broken = cmp.Or(broken, fmt.Sprintf("member of rank %d is gone", rank))
		}
	}
	return broken, leaving
}

// replaceable reports whether the domain has free workers with the model's
// weights for all members that leave.
func (d *decider) replaceable(model catalog.Model, members []*Worker) bool {
	needed := 0
	for _, w := range members {
		if w.Draining {
			needed++
		}
	}
	for _, w := range d.free {
		if w.Domain == members[0].Domain && w.HasStaged(model.Name) {
			needed--
		}
	}
	return needed <= 0
}

// release lets members of a group that serves no more leave it. They join another
// one only from no group: the head may be cut off and open still.
func (d *decider) release(members []*Worker) {
	for _, w := range members {
		if !w.Lost && !d.taken[w.ID] {
			d.leave(w, w.Membership.Group, w.Membership.Epoch, "group serves no more")
		}
	}
}

// reserve keeps free workers of the domain for a group whose members become
// free soon: its head is silent, and may still be open.
func (d *decider) reserve(model catalog.Model, members []*Worker) {
	alive := 0
	for _, w := range members {
		if !w.Lost && !w.Draining {
			alive++
		}
	}
	missing := model.Size - alive
	if missing > model.Size/2 {
		return
	}
	d.counts[model.Name]++
	for _, warm := range []bool{true, false} {
		for _, id := range sortedKeys(d.free) {
			w := d.free[id]
			if missing > 0 && w.Domain == members[0].Domain && w.HasStaged(model.Name) == warm {
				d.reserved[id] = w
				delete(d.free, id)
				missing--
			}
		}
	}
}

// settleStaging forgets what has arrived, or will not.
func (d *decider) settleStaging() {
	for id, s := range d.Staging {
		w := d.byID[id]
		model, ok := d.Engine.Model(s.Model)
		if w == nil || !ok || w.HasStaged(s.Model) || d.taken[id] || d.Now.Sub(s.Since) > stagePatience*model.LoadTime {
			continue
		}
		d.d.Staging[id] = s
	}
}

// loading counts the loads that run in this data centre.
func (d *decider) loading() int {
	n := len(d.d.Staging)
	for _, f := range d.d.Forming {
		for _, id := range f.Loading {
			if w := d.byID[id]; w != nil && w.Membership.State != roster.Ready {
				n++
			}
		}
	}
	return n
}
