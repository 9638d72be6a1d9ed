package formation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Operation is what an order asks of a worker.
type Operation int

// The operations.
const (
	Join  Operation = iota
	Open            // the head starts to take requests
	Close           // the head takes no more requests
	Leave           // the worker is in no group
)

// Order is an order to one worker.
type Order struct {
	Worker    string
	Operation Operation
	Group     string
	Epoch     int64
	Model     string   // of Join
	Members   []string // of Join; the first is the head
	Cancel    bool     // of Close: breaks off what runs
	Loads     bool     // reads weights from the shared store
	Reason    string
}

// Worker is a worker of the data centre as far as it is known.
type Worker struct {
	roster.Server
	Lost  bool // doesn't answer and is overdue
	Known bool // has reported in this life, so that orders can name its count
	Cold  bool
	Since time.Time // when it was first seen in this life
}

// Forming is a group that was decided on and is not open yet.
type Forming struct {
	Group   string
	Epoch   int64
	Model   string
	Members []string // the first is the head
	Loading []string // members that read weights from the shared store
	// From are the groups that the members were in when they were chosen.
	From map[string]string
	// Joined are the members whose order to join was accepted, or had no answer
	// and may be carried out yet. Seen are those that reported the group since.
	Joined, Seen map[string]bool
	Since        time.Time
}

// Staging is a model on its way to a spare worker.
type Staging struct {
	Model string
	Since time.Time
}

// Input is what a decision is made on.
type Input struct {
	Now     time.Time
	Engine  *catalog.Engine
	Workers []Worker
	Forming map[string]Forming // by group
	Staging map[string]Staging // by worker
	// Headless are the groups whose head serves no more, or is given up.
	Headless map[string]bool
	// Epoch is the highest epoch that any order has named, also one that was not
	// answered: carried out late, it must be lower than what came after it.
	Epoch int64
	// Closed data centres form no groups; those that are there stay.
	Closed bool
	// Serving is set once clients send requests; loads take their full time then.
	Serving bool
	// Use returns the part of a model's places that is taken, 0 to 1; nil counts as 1.
	Use func(model string) float64
	// MayLoad is how many loads may begin now.
	MayLoad int
	// AtOnce is how many loads may run side by side in this data centre.
	AtOnce int
	// NewName returns a name that no group has had.
	NewName func(model string) string
}

// Note says what was decided about a group, and why.
type Note struct {
	Group  string
	Model  string
	Event  string // formed, opened, closed, dissolved, given up
	Reason string
	Detail string
}

// Decision is what to order, and what to remember for the next decision.
type Decision struct {
	Orders  []Order
	Forming map[string]Forming
	Staging map[string]Staging
	Notes   []Note
	Epoch   int64 // the highest epoch that an order has named
}

// Name returns a group's name for a model; suffix makes it the only one.
func Name(model, suffix string) string { return model + "." + suffix }

// spareMark begins the suffix of a spare's own group.
const spareMark = "spare-"

// IsSpare reports whether a group is that of one spare worker, which holds the
// model ready and never opens.
func IsSpare(group string) bool {
	i := strings.LastIndexByte(group, '.')
	return i >= 0 && strings.HasPrefix(group[i+1:], spareMark)
}

// spareName makes a spare's group of a name that no group has had.
func spareName(name string) string {
	i := strings.LastIndexByte(name, '.') + 1
	return name[:i] + spareMark + name[i:]
}

// ModelOf returns the model that a group's name was made for.
func ModelOf(group string) string {
	if i := strings.LastIndexByte(group, '.'); i >= 0 {
		return group[:i]
	}
	return ""
}

const (
	// joinPatience is how long a group is given until all members have begun to join.
	joinPatience = 4 * time.Second
	// quietTime is how long no worker has come to a domain before a group there
	// is worth a load: workers that return together bring their weights with them.
	quietTime = 1500 * time.Millisecond
	// swapAfter is how long a group has waited for a load before a worker with
	// the weights takes the place of the one that loads.
	swapAfter = 500 * time.Millisecond
	// stagePatience is how many times its load time a staging may take.
	stagePatience = 4
)

type decider struct {
	Input
	byID     map[string]*Worker
	groups   map[string][]*Worker // members of each group, by rank
	free     map[string]*Worker
	reserved map[string]*Worker // free, but kept for a group
	taken    map[string]bool    // workers of groups that are forming
	counts   map[string]int     // groups that are open or forming, by model
	emptying map[string]int     // workers that leave their group, by domain
	epoch    int64
	d        Decision
}

// Decide returns the orders that bring the data centre's groups nearer to what
// its engine is asked for.
func Decide(in Input) Decision {
	d := &decider{
		Input:    in,
		byID:     map[string]*Worker{},
		groups:   map[string][]*Worker{},
		free:     map[string]*Worker{},
		reserved: map[string]*Worker{},
		taken:    map[string]bool{},
		counts:   map[string]int{},
		emptying: map[string]int{},
		d:        Decision{Forming: map[string]Forming{}, Staging: map[string]Staging{}},
	}
	d.epoch = in.Epoch
	d.observe()
	for _, group := range sortedKeys(d.Forming) {
		d.settleForming(d.Forming[group])
	}
	for _, group := range sortedKeys(d.groups) {
		if _, forming := d.Forming[group]; !forming {
			d.settleGroup(group, d.groups[group])
		}
	}
	d.settleStaging()
	if !in.Closed {
		for d.form() {
		}
		for id, w := range d.reserved {
			d.free[id] = w
		}
		d.prepare()
	}
	d.d.Epoch = d.epoch
	return d.d
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (d *decider) observe() {
	for i := range d.Workers {
		w := &d.Workers[i]
		d.byID[w.ID] = w
		d.epoch = max(d.epoch, w.Membership.Epoch)
		if IsSpare(w.Membership.Group) {
			if !w.Lost && !w.Draining && w.Known {
				d.free[w.ID] = w
			}
			continue
		}
		if w.Membership.State != roster.Alone {
			d.groups[w.Membership.Group] = append(d.groups[w.Membership.Group], w)
		} else if !w.Lost && !w.Draining && w.Known {
			d.free[w.ID] = w
		}
	}
	for _, f := range d.Forming {
		d.epoch = max(d.epoch, f.Epoch)
		for _, id := range f.Members {
			d.taken[id] = true
			delete(d.free, id)
		}
	}
	for _, members := range d.groups {
		slices.SortFunc(members, func(a, b *Worker) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) })
	}
}

func (d *decider) order(o Order) { d.d.Orders = append(d.d.Orders, o) }

func (d *decider) note(n Note) { d.d.Notes = append(d.d.Notes, n) }

// in reports whether a worker is a member under a group's name and epoch.
func in(w *Worker, group string, epoch int64) bool {
	return w.Membership.State != roster.Alone && w.Membership.Group == group && w.Membership.Epoch == epoch
}

// settleForming brings a group that was decided on nearer to open, or gives it up.
func (d *decider) settleForming(f Forming) {
	ready, waiting := 0, []*Worker(nil)
	for _, id := range f.Members {
		w := d.byID[id]
		switch {
		case w == nil || w.Lost || w.Draining:
			d.giveUp(f, fmt.Sprintf("member %s is lost or leaves", id))
			return
		case !in(w, f.Group, f.Epoch):
			if g := w.Membership.Group; g != f.From[id] && !IsSpare(g) && g != "" {
				d.giveUp(f, fmt.Sprintf("member %s joined %s", id, w.Membership.Group))
				return
			}
			if f.Seen[id] {
				d.giveUp(f, fmt.Sprintf("member %s left", id))
				return
			}
			waiting = append(waiting, w)
			continue
		case w.Membership.State == roster.Ready:
			ready++
		}
		f.Seen[id] = true
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
		if !f.Joined[w.ID] {
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
func (d *decider) swappable(f Forming) bool {
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

func (d *decider) join(f Forming, w *Worker) Order {
	return Order{
		Worker: w.ID, Operation: Join, Group: f.Group, Epoch: f.Epoch, Model: f.Model, Members: f.Members,
		Loads: slices.Contains(f.Loading, w.ID),
	}
}

// giveUp ends the forming of a group. Its head leaves first; until then the
// others stay, since an order to open it may still be under way.
func (d *decider) giveUp(f Forming, reason string) {
	d.note(Note{Group: f.Group, Model: f.Model, Event: "given up", Reason: reason})
	if head := d.byID[f.Members[0]]; head != nil && !head.Lost && in(head, f.Group, f.Epoch) {
		d.leave(head, f.Group, f.Epoch, "group was given up")
	}
}

func (d *decider) leave(w *Worker, group string, epoch int64, reason string) {
	if !w.Draining {
		d.emptying[w.Domain]++
	}
	if !w.Known {
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
		if w == nil || !ok || w.HasStaged(s.Model) || d.taken[id] || d.Now.Sub(s.Since) > stagePatience*model.Load {
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
