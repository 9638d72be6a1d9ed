package formation_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// cluster simulates the workers of a data centre. It records a violation when the
// workers themselves break a rule, whatever the state of the keepers.
type cluster struct {
	now          time.Time
	workers      map[string]*worker
	engine       *catalog.Engine
	pending      []sentOrder // sent, may still be carried out
	violations   []string
	namesUsed    int
	ready        map[string]map[string]bool // members that were ready, by membershipKey
	ignoreCounts bool                       // workers don't check the count in orders
}

type worker struct {
	roster.Server
	dead        bool
	unreachable bool // for the keepers, not for its group
	members     []string
	readyAt     time.Time // when it becomes ready
}

// sentOrder is an order with the count that the keeper expects the worker to have.
type sentOrder struct {
	order  formation.Order
	count  int64
	keeper *keeper
}

func newCluster(now time.Time, domains, size int) *cluster {
	cl := &cluster{
		now: now, workers: map[string]*worker{}, ready: map[string]map[string]bool{},
		engine: &catalog.Engine{Slots: 8, LoadRate: 5, MaxConcurrentLoads: 8, Models: []catalog.Model{
			{Name: "large", Size: 4, Share: 0.6, Pace: 1, LoadTime: 4 * time.Second, StagedJoinTime: time.Second},
			{Name: "small", Size: 2, Share: 0.4, Pace: 0.6, LoadTime: 3 * time.Second, StagedJoinTime: time.Second},
		}},
	}
	for d := range domains {
		for i := range size {
			cl.add(fmt.Sprintf("w-%d-%d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return cl
}

func (cl *cluster) add(id, domain string) {
	cl.workers[id] = &worker{Server: roster.Server{ID: id, Domain: domain, StartUnixMilli: 1}}
}

func (cl *cluster) addViolation(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

func membershipKey(m roster.Membership) string { return fmt.Sprintf("%s/%d", m.Group, m.Epoch) }

// advance moves the time forward by d and makes workers ready that have joined by then.
func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for _, worker := range cl.workers {
		if !worker.dead && worker.Membership.State == roster.Joining && !cl.now.Before(worker.readyAt) {
			worker.Membership.State = roster.Ready
			cl.noteReady(worker)
		}
	}
}

func (cl *cluster) noteReady(worker *worker) {
	g := membershipKey(worker.Membership)
	if cl.ready[g] == nil {
		cl.ready[g] = map[string]bool{}
	}
	cl.ready[g][worker.ID] = true
}

// carryOut lets the worker handle an order, and reports whether the worker accepted it.
func (cl *cluster) carryOut(sent sentOrder) bool {
	worker, o := cl.workers[sent.order.Worker], sent.order
	if worker == nil || worker.dead || worker.unreachable || !cl.ignoreCounts && sent.count != worker.OrderCount {
		return false
	}
	m := &worker.Membership
	if o.Operation == formation.Join {
		return cl.join(worker, o)
	}
	if m.State == roster.Alone || m.Group != o.Group || m.Epoch != o.Epoch {
		return false
	}
	switch {
	case o.Operation == formation.Open && m.Rank == 0 && m.State == roster.Ready:
		m.State = roster.Open
		cl.checkOpen(worker)
	case o.Operation == formation.Close && m.State == roster.Open:
		m.State = roster.Ready
	case o.Operation == formation.Leave:
		*m = roster.Membership{}
	default:
		return false
	}
	worker.OrderCount++
	return true
}

func (cl *cluster) join(worker *worker, o formation.Order) bool {
	m := &worker.Membership
	if o.Epoch < m.Epoch || m.Group == o.Group {
		return false
	}
	if m.State != roster.Alone && !formation.IsSpare(m.Group) {
		cl.addViolation("%s joined %s without having left %s", worker.ID, o.Group, m.Group)
	}
	if m.State != roster.Alone {
		if head := cl.workers[worker.members[0]]; head != nil && !head.dead && membershipKey(head.Membership) == membershipKey(*m) && head.Membership.State == roster.Open {
			cl.addViolation("%s joined %s while the head %s of %s was open", worker.ID, o.Group, head.ID, m.Group)
		}
	}
	model, _ := cl.engine.Model(o.Model)
	duration := model.LoadTime
	if worker.HasStaged(o.Model) {
		duration = model.StagedJoinTime
	}
	worker.members, worker.readyAt = o.Members, cl.now.Add(duration)
	*m = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, worker.ID), State: roster.Joining}
	worker.StagedModels = []string{o.Model}
	worker.OrderCount++
	return true
}

// checkOpen records a violation if the head opened before all its members were ready.
func (cl *cluster) checkOpen(head *worker) {
	model, _ := cl.engine.Model(formation.ModelOf(head.Membership.Group))
	if len(head.members) != model.Size {
		cl.addViolation("%s opened with %d members instead of %d", head.ID, len(head.members), model.Size)
	}
	for _, id := range head.members {
		if !cl.ready[membershipKey(head.Membership)][id] {
			cl.addViolation("%s opened although %s was never ready in %s", head.ID, id, head.Membership.Group)
		}
	}
}

// openGroups returns the number of a model's open groups that are complete.
func (cl *cluster) openGroups(model string) int {
	n := 0
	for _, worker := range cl.workers {
		if !worker.dead && worker.Membership.State == roster.Open && formation.ModelOf(worker.Membership.Group) == model && cl.complete(worker) {
			n++
		}
	}
	return n
}

func (cl *cluster) complete(head *worker) bool {
	for _, id := range head.members {
		if member := cl.workers[id]; member == nil || member.dead || membershipKey(member.Membership) != membershipKey(head.Membership) {
			return false
		}
	}
	return true
}

const defaultLoads = 8

// keeper decides on the reports that it last read.
type keeper struct {
	cluster  *cluster
	reports  map[string]formation.Worker
	forming  map[string]formation.FormingGroup
	staging  map[string]formation.Staging
	headless map[string]bool
	sizes    map[string]int // of domains
	loads    int            // that may begin and run at once; 0 means defaultLoads
	// utilization is the share of a model's slots in use; nil means that all are.
	utilization func(model string) float64
}

// readReports reads the reports of the reachable workers. A group is headless once
// its known head has left it or can't be reached.
func (k *keeper) readReports() {
	before := k.reports
	k.reports = map[string]formation.Worker{}
	if k.headless == nil {
		k.headless = map[string]bool{}
	}
	for id, w := range k.cluster.workers {
		if !w.dead && !w.unreachable {
			k.reports[id] = formation.Worker{Server: w.Server, OrdersKnown: true}
		}
		was, known := before[id]
		if known && was.IsHead() && (w.dead || w.unreachable || membershipKey(was.Membership) != membershipKey(w.Membership)) {
			k.headless[was.Membership.Group] = true
		}
	}
}

// decide returns the keeper's orders, each with the count in the worker's last report.
func (k *keeper) decide() []sentOrder {
	loads := cmp.Or(k.loads, defaultLoads)
	in := formation.Input{
		Now: k.cluster.now, Engine: k.cluster.engine, Forming: k.forming, Staging: k.staging, Headless: k.headless,
		LoadBudget: loads, MaxConcurrentLoads: loads, DomainSizes: k.sizes, Utilization: k.utilization,
		NewGroupName: func(model string) string {
			k.cluster.namesUsed++
			return formation.GroupName(model, fmt.Sprint(k.cluster.namesUsed))
		},
	}
	for _, w := range k.reports {
		in.Workers = append(in.Workers, w)
	}
	slices.SortFunc(in.Workers, func(a, b formation.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	d := formation.Decide(in)
	k.forming, k.staging, k.sizes = d.Forming, d.Staging, d.DomainSizes
	var orders []sentOrder
	for _, o := range d.Orders {
		orders = append(orders, sentOrder{order: o, count: k.reports[o.Worker].OrderCount, keeper: k})
		k.setJoined(o, true) // until an answer denies it
	}
	return orders
}

// setJoined records whether an order to join may have been carried out.
func (k *keeper) setJoined(o formation.Order, mayHaveJoined bool) {
	if f, ok := k.forming[o.Group]; ok && o.Operation == formation.Join {
		f.JoinOrdered[o.Worker] = mayHaveJoined
	}
}
