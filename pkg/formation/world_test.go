package formation_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// world holds workers as they are, for keepers that see them through reports.
// It judges what the workers do, not what the keepers think.
type world struct {
	now      time.Time
	workers  map[string]*worker
	engine   *catalog.Engine
	pending  []sent // orders that were sent and not carried out yet
	findings []string
	names    int
	seen     map[string]map[string]bool // group and epoch to members that were ready
	unsafe   bool                       // workers don't check the count that an order names
}

type worker struct {
	roster.Server
	dead    bool
	cut     bool // from the keepers, not from its group
	members []string
	until   time.Time // end of joining
}

// sent is an order with the count that it names.
type sent struct {
	order formation.Order
	count int64
	by    *keeper
}

func newWorld(now time.Time, domains, size int) *world {
	w := &world{
		now: now, workers: map[string]*worker{}, seen: map[string]map[string]bool{},
		engine: &catalog.Engine{Slots: 8, LoadRate: 5, MaxConcurrentLoads: 8, Models: []catalog.Model{
			{Name: "large", Size: 4, Share: 0.6, Pace: 1, LoadTime: 4 * time.Second, StagedJoinTime: time.Second},
			{Name: "small", Size: 2, Share: 0.4, Pace: 0.6, LoadTime: 3 * time.Second, StagedJoinTime: time.Second},
		}},
	}
	for d := range domains {
		for i := range size {
			w.add(fmt.Sprintf("w-%d-%d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return w
}

func (w *world) add(id, domain string) {
	w.workers[id] = &worker{Server: roster.Server{ID: id, Domain: domain, StartUnixMilli: 1}}
}

func (w *world) find(format string, args ...any) {
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

func key(m roster.Membership) string { return fmt.Sprintf("%s/%d", m.Group, m.Epoch) }

// settle moves the world's time on and ends what has taken its time.
func (w *world) settle(d time.Duration) {
	w.now = w.now.Add(d)
	for _, k := range w.workers {
		if !k.dead && k.Membership.State == roster.Joining && !w.now.Before(k.until) {
			k.Membership.State = roster.Ready
			w.note(k)
		}
	}
}

func (w *world) note(k *worker) {
	g := key(k.Membership)
	if w.seen[g] == nil {
		w.seen[g] = map[string]bool{}
	}
	w.seen[g][k.ID] = true
}

// carryOut does what a worker does with an order, and reports whether it began.
func (w *world) carryOut(s sent) bool {
	k, o := w.workers[s.order.Worker], s.order
	if k == nil || k.dead || k.cut || !w.unsafe && s.count != k.OrderCount {
		return false
	}
	m := &k.Membership
	if o.Operation == formation.Join {
		return w.join(k, o)
	}
	if m.State == roster.Alone || m.Group != o.Group || m.Epoch != o.Epoch {
		return false
	}
	switch {
	case o.Operation == formation.Open && m.Rank == 0 && m.State == roster.Ready:
		m.State = roster.Open
		w.judgeOpen(k)
	case o.Operation == formation.Close && m.State == roster.Open:
		m.State = roster.Ready
	case o.Operation == formation.Leave:
		*m = roster.Membership{}
	default:
		return false
	}
	k.OrderCount++
	return true
}

func (w *world) join(k *worker, o formation.Order) bool {
	m := &k.Membership
	if o.Epoch < m.Epoch || m.Group == o.Group {
		return false
	}
	if m.State != roster.Alone && !formation.IsSpare(m.Group) {
		w.find("%s joined %s without having left %s", k.ID, o.Group, m.Group)
	}
	if m.State != roster.Alone {
		if head := w.workers[k.members[0]]; head != nil && !head.dead && key(head.Membership) == key(*m) && head.Membership.State == roster.Open {
			w.find("%s joined %s while the head %s of %s was open", k.ID, o.Group, head.ID, m.Group)
		}
	}
	model, _ := w.engine.Model(o.Model)
	took := model.LoadTime
	if k.HasStaged(o.Model) {
		took = model.StagedJoinTime
	}
	k.members, k.until = o.Members, w.now.Add(took)
	*m = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, k.ID), State: roster.Joining}
	k.StagedModels = []string{o.Model}
	k.OrderCount++
	return true
}

// judgeOpen checks that a head that opens has all its members.
func (w *world) judgeOpen(head *worker) {
	model, _ := w.engine.Model(formation.ModelOf(head.Membership.Group))
	if len(head.members) != model.Size {
		w.find("%s opened with %d members instead of %d", head.ID, len(head.members), model.Size)
	}
	for _, id := range head.members {
		if !w.seen[key(head.Membership)][id] {
			w.find("%s opened although %s was never ready in %s", head.ID, id, head.Membership.Group)
		}
	}
}

// open returns the number of a model's groups that take requests and are whole.
func (w *world) open(model string) int {
	n := 0
	for _, k := range w.workers {
		if !k.dead && k.Membership.State == roster.Open && formation.ModelOf(k.Membership.Group) == model && w.whole(k) {
			n++
		}
	}
	return n
}

func (w *world) whole(head *worker) bool {
	for _, id := range head.members {
		if k := w.workers[id]; k == nil || k.dead || key(k.Membership) != key(head.Membership) {
			return false
		}
	}
	return true
}

// keeper decides on what it last saw.
type keeper struct {
	world    *world
	seen     map[string]formation.Worker
	forming  map[string]formation.FormingGroup
	staging  map[string]formation.Staging
	headless map[string]bool
}

// look takes over what the workers report. A head counts as gone once it was
// seen in a group and later out of it, or can't be reached.
func (k *keeper) look() {
	before := k.seen
	k.seen = map[string]formation.Worker{}
	if k.headless == nil {
		k.headless = map[string]bool{}
	}
	for id, w := range k.world.workers {
		if !w.dead && !w.cut {
			k.seen[id] = formation.Worker{Server: w.Server, OrdersKnown: true}
		}
		was, known := before[id]
		if known && was.IsHead() && (w.dead || w.cut || key(was.Membership) != key(w.Membership)) {
			k.headless[was.Membership.Group] = true
		}
	}
}

// decide returns the orders of a keeper, each with the count that it has seen.
func (k *keeper) decide() []sent {
	in := formation.Input{
		Now: k.world.now, Engine: k.world.engine, Forming: k.forming, Staging: k.staging, Headless: k.headless,
		LoadBudget: 8, MaxConcurrentLoads: 8,
		NewGroupName: func(model string) string {
			k.world.names++
			return formation.GroupName(model, fmt.Sprint(k.world.names))
		},
	}
	for _, w := range k.seen {
		in.Workers = append(in.Workers, w)
	}
	slices.SortFunc(in.Workers, func(a, b formation.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	d := formation.Decide(in)
	k.forming, k.staging = d.Forming, d.Staging
	var orders []sent
	for _, o := range d.Orders {
		orders = append(orders, sent{order: o, count: k.seen[o.Worker].OrderCount, by: k})
		k.joined(o, true) // until the answer says otherwise
	}
	return orders
}

// joined notes whether an order to join may have been carried out.
func (k *keeper) joined(o formation.Order, may bool) {
	if f, ok := k.forming[o.Group]; ok && o.Operation == formation.Join {
		f.JoinOrdered[o.Worker] = may
	}
}
