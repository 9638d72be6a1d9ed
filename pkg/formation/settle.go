package formation

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/presence"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// isMember reports whether a worker is a member of the group with this name and epoch.
func isMember(w *Worker, group string, epoch int64) bool {
	return w.Membership.State != roster.Alone && w.Membership.Group == group && w.Membership.Epoch == epoch
}

// advanceForming orders the next step towards opening a forming group, or gives
// the group up.
func (d *decider) advanceForming(f FormingGroup) {
	ready, notJoined := 0, []*Worker(nil)
	for _, id := range f.Members {
		w := d.byID[id]
		switch {
		case w == nil || !w.isPresent() || w.Draining:
			d.giveUp(f, fmt.Sprintf("member %s does not answer or is draining", id))
			return
		case !isMember(w, f.Group, f.Epoch):
			if g := w.Membership.Group; g != f.PreviousGroups[id] && !IsSpare(g) && g != "" {
				d.giveUp(f, fmt.Sprintf("member %s joined %s", id, w.Membership.Group))
				return
			}
			if f.JoinReported[id] {
				d.giveUp(f, fmt.Sprintf("member %s left the group", id))
				return
			}
			notJoined = append(notJoined, w)
			continue
		case w.Membership.State == roster.Ready:
			ready++
		}
		f.JoinReported[id] = true
	}
	head := d.byID[f.Members[0]]
	state := head.Membership.State
	switch {
	case isMember(head, f.Group, f.Epoch) && (state == roster.Open || state == roster.Closing || state == roster.Broken):
		d.maintainGroup(f.Group, d.groups[f.Group])
		return
	case len(notJoined) > 0 && d.Now.Sub(f.Since) > joinTimeout:
		d.giveUp(f, fmt.Sprintf("member %s did not join in time", notJoined[0].ID))
		return
	}
	if !d.mayOpen(f.Members, f.Epoch) {
		d.giveUp(f, lateOrders)
		return
	}
	if d.canReplaceLoading(f) {
		d.giveUp(f, "free workers already have the weights")
		return
	}
	for _, w := range notJoined {
		if !f.JoinOrdered[w.ID] {
			d.addOrder(d.joinOrder(f, w))
		}
	}
	if ready == len(f.Members) {
		d.addOrder(Order{Worker: head.ID, Operation: Open, Group: f.Group, Epoch: f.Epoch, Reason: "all members are ready"})
	}
	d.decision.Forming[f.Group] = f
	d.groupCounts[f.Model]++
}

// lateOrders is the reason why a group is not opened.
const lateOrders = "orders with higher epochs may be carried out late"

// mayOpen reports whether no order with a higher epoch can take a member out of a group.
func (d *decider) mayOpen(members []string, epoch int64) bool {
	return epoch >= d.OpenFrom && !slices.ContainsFunc(members, func(id string) bool { return d.byID[id].OrderedEpoch > epoch })
}

// canReplaceLoading reports whether free workers of the domain that have the
// weights could replace all members that are still loading.
func (d *decider) canReplaceLoading(f FormingGroup) bool {
	if d.Now.Sub(f.Since) < loadReplacementDelay {
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

// joinOrder returns the order for a worker to join a forming group.
func (d *decider) joinOrder(f FormingGroup, w *Worker) Order {
	return Order{
		Worker: w.ID, Operation: Join, Group: f.Group, Epoch: f.Epoch, Model: f.Model, Members: f.Members,
		NeedsLoad: slices.Contains(f.Loading, w.ID),
	}
}

// giveUp stops forming a group. Only the head is ordered to leave now: the other
// members stay until it has left, since an order to open it may still arrive.
func (d *decider) giveUp(f FormingGroup, reason string) {
	d.addNote(Note{Group: f.Group, Model: f.Model, Event: "given up", Reason: reason})
	if head := d.byID[f.Members[0]]; head != nil && head.isPresent() && isMember(head, f.Group, f.Epoch) {
		d.orderLeave(head, f.Group, f.Epoch, "forming of the group was given up")
	}
}

// orderLeave orders a worker to leave its group.
func (d *decider) orderLeave(w *Worker, group string, epoch int64, reason string) {
	if !w.Draining {
		d.leaving[w.Domain]++
	}
	if !w.OrdersKnown {
		return
	}
	d.addOrder(Order{Worker: w.ID, Operation: Leave, Group: group, Epoch: epoch, Reason: reason})
}

// maintainGroup closes, dissolves or opens an existing group as its members require.
func (d *decider) maintainGroup(group string, members []*Worker) {
	model, known := d.Engine.Model(ModelOf(group))
	var head *Worker
	if members[0].Membership.Rank == 0 {
		head = members[0]
	}
	switch {
	case head == nil && d.Headless[group]:
		d.releaseMembers(members)
		d.reserveWorkers(model, members)
		return
	case head == nil || !head.isPresent():
		d.reserveWorkers(model, members)
		return
	}
	epoch := head.Membership.Epoch
	defects := d.defects(group, model, members, epoch)
	if !known {
		defects.incomplete = cmp.Or(defects.incomplete, "its model is not configured")
	}
	switch head.Membership.State {
	case roster.Broken:
		d.addNote(Note{Group: group, Model: model.Name, Event: "dissolved", Reason: "its head is broken"})
		d.releaseMembers(members)
		d.reserveWorkers(model, members)
	case roster.Open:
		switch {
		case defects.fatal != "":
			d.closeGroup(head, group, model, defects.fatal, true)
			d.reserveWorkers(model, members)
		case defects.incomplete != "":
			d.closeGroup(head, group, model, defects.incomplete, false)
			d.reserveWorkers(model, members)
		case defects.silent != "":
			d.addNote(Note{Group: group, Model: model.Name, Event: "waiting", Reason: defects.silent})
			d.reserveWorkers(model, members)
		case defects.draining != "" && d.canReplaceDraining(model, members):
			d.closeGroup(head, group, model, defects.draining, false)
			d.reserveWorkers(model, members)
		default:
			d.groupCounts[model.Name]++
		}
	case roster.Closing:
		if defects.fatal != "" {
			d.closeGroup(head, group, model, defects.fatal, true)
		}
		d.reserveWorkers(model, members)
	case roster.Joining, roster.Ready:
		late := ""
		if !d.mayOpen(ids(members), epoch) {
			late = lateOrders
		}
		defect := cmp.Or(defects.fatal, defects.incomplete, defects.silent, defects.draining, late)
		if defect == "" && allReady(members) {
			d.addOrder(Order{Worker: head.ID, Operation: Open, Group: group, Epoch: epoch, Reason: "all members are ready"})
			d.groupCounts[model.Name]++
			return
		}
		reason := cmp.Or(defect, "no keeper is forming the group")
		d.addNote(Note{Group: group, Model: model.Name, Event: "dissolved", Reason: reason})
		d.orderLeave(head, group, epoch, reason)
		d.reserveWorkers(model, members)
	}
}

func ids(workers []*Worker) []string {
	var ids []string
	for _, w := range workers {
		ids = append(ids, w.ID)
	}
	return ids
}

func allReady(members []*Worker) bool {
	return !slices.ContainsFunc(members, func(w *Worker) bool { return w.Membership.State != roster.Ready })
}

// closeGroup orders the head of a group to take no more requests. cancel also breaks off
// the running ones, which is for groups that stand still for good: the requests of all
// others end by themselves.
func (d *decider) closeGroup(head *Worker, group string, model catalog.Model, reason string, cancel bool) {
	d.addNote(Note{Group: group, Model: model.Name, Event: "closed", Reason: reason})
	d.addOrder(Order{Worker: head.ID, Operation: Close, Group: group, Epoch: head.Membership.Epoch, Cancel: cancel, Reason: reason})
}

// defects is what is wrong with a group. A text is empty if it doesn't apply.
type defects struct {
	fatal      string // a member has ended or left, so the group never goes on
	incomplete string // a member is unknown
	silent     string // a member does not answer, but may go on
	draining   string // a member is draining
}

// defects returns what is wrong with a group.
func (d *decider) defects(group string, model catalog.Model, members []*Worker, epoch int64) defects {
	var found defects
	present := map[int]bool{}
	for _, w := range members {
		switch {
		case w.Presence == presence.Ended:
			found.fatal = cmp.Or(found.fatal, fmt.Sprintf("member %s has ended", w.ID))
		case w.Membership.Epoch != epoch:
			continue
		case !w.isPresent():
			found.silent = cmp.Or(found.silent, fmt.Sprintf("member %s is silent", w.ID))
		case w.Draining:
			found.draining = cmp.Or(found.draining, fmt.Sprintf("member %s is draining", w.ID))
		}
		present[w.Membership.Rank] = true
	}
	for rank := range model.Size {
		switch {
		case present[rank]:
		case d.Departed[group][rank]:
			found.fatal = cmp.Or(found.fatal, fmt.Sprintf("member of rank %d has left or ended", rank))
		default:
			found.incomplete = cmp.Or(found.incomplete, fmt.Sprintf("member of rank %d is unknown", rank))
		}
	}
	return found
}

// canReplaceDraining reports whether the domain has free workers with the model's
// weights for all members that are draining.
func (d *decider) canReplaceDraining(model catalog.Model, members []*Worker) bool {
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

// releaseMembers orders the members of a group that no longer serves to leave it.
// They can't join another group directly, since the head may be unreachable from
// here but still open.
func (d *decider) releaseMembers(members []*Worker) {
	for _, w := range members {
		if w.isPresent() && !d.inForming[w.ID] {
			d.orderLeave(w, w.Membership.Group, w.Membership.Epoch, "group no longer serves requests")
		}
	}
}

// reserveWorkers keeps free workers of the domain for the successor of a group that
// ends. Its members become free soon, but stay in it for now, since the head may still
// be open.
func (d *decider) reserveWorkers(model catalog.Model, members []*Worker) {
	remaining := countRemaining(members)
	if !isReplaceable(model, remaining) {
		return
	}
	missing := model.Size - remaining
	d.groupCounts[model.Name]++
	for _, staged := range []bool{true, false} {
		for _, id := range sortedKeys(d.free) {
			w := d.free[id]
			if missing > 0 && w.Domain == members[0].Domain && w.HasStaged(model.Name) == staged {
				d.reserved[id] = model.Name
				delete(d.free, id)
				missing--
			}
		}
	}
}

// pruneStaging drops stagings that are complete, obsolete or timed out.
func (d *decider) pruneStaging() {
	for id, s := range d.Staging {
		w := d.byID[id]
		model, ok := d.Engine.Model(s.Model)
		if w == nil || !ok || w.HasStaged(s.Model) || d.inForming[id] || d.Now.Sub(s.Since) > stagingTimeoutFactor*model.LoadTime {
			continue
		}
		d.decision.Staging[id] = s
	}
}

// runningLoads returns the number of loads that run in this data centre.
func (d *decider) runningLoads() int {
	n := len(d.decision.Staging)
	for _, f := range d.decision.Forming {
		for _, id := range f.Loading {
			if w := d.byID[id]; w != nil && w.Membership.State != roster.Ready {
				n++
			}
		}
	}
	return n
}
