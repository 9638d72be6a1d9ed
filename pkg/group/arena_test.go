package group

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

var errLost = errors.New("answer to the order was lost")

// identity is what an engine reports about itself at one time.
type identity struct {
	boot    string
	group   string
	epoch   journal.Offset
	version string
	loading bool
}

// engine is a simulated backend server that applies orders. It checks fencing
// numbers or ignores them.
type engine struct {
	checksFence   bool
	boots         int
	current       identity
	history       []pastIdentity // former identities
	fence         journal.Offset
	delayedOrders []orderDelivery
}

// pastIdentity is a former identity with the time at which it ended.
type pastIdentity struct {
	identity
	end time.Time
}

// orderDelivery is an order on its way to an engine.
type orderDelivery struct {
	boot  string // run of the engine that accepted the connection
	order Order
}

// entryInstance is a simulated entry instance. It may pause or stop between any two
// steps and continue much later.
type entryInstance struct {
	process      placement.Process
	alive        bool
	view         placement.State
	reports      Reports
	issuer       *Issuer
	unsentOrders []Order // orders that were decided on and not sent yet
	admitted     []Ticket
}

// disabledGuards names the guards that a test disables in each type.
type disabledGuards struct {
	check, controller, issuer guard
}

// simulation has entry instances that manage groups of engines through one log, with
// random faults.
type simulation struct {
	t          *rapid.T
	disabled   disabledGuards
	now        time.Time
	log        []journal.Entry
	state      placement.State
	delayed    []placement.Record
	ids        int
	boots      int
	instances  []*entryInstance
	engines    map[string]*engine
	servers    []fleet.BackendServer
	desired    []fleet.Group
	policy     Policy
	faultsOver bool // no more faults are injected
}

func newSimulation(t *rapid.T, disabled disabledGuards) *simulation {
	sim := &simulation{t: t, disabled: disabled, now: time.Unix(0, 0), engines: make(map[string]*engine)}
	sim.policy = rapid.SampledFrom([]Policy{Wait, OtherDomain, Dissolve}).Draw(t, "policy")
	for i := 1; i <= 6; i++ {
		s := fleet.BackendServer{Name: fmt.Sprint("s", i), FabricDomain: fmt.Sprint("d", (i+2)/3), ChecksFence: i%3 == 0}
		sim.servers = append(sim.servers, s)
		sim.engines[s.Name] = &engine{checksFence: s.ChecksFence, boots: 1, current: identity{boot: "1"}}
	}
	sim.desired = []fleet.Group{desiredGroup("g1", "s3", "s2")}
	for _, name := range []string{"e1", "e2"} {
		instance := &entryInstance{process: placement.Process{Name: name}}
		sim.instances = append(sim.instances, instance)
		sim.start(instance)
	}
	return sim
}

func (sim *simulation) newID() string {
	sim.ids++
	return fmt.Sprint(sim.ids)
}

func (sim *simulation) start(instance *entryInstance) {
	sim.boots++
	instance.process.BootID = fmt.Sprint("b", sim.boots)
	instance.alive = true
	instance.reports = Reports{}
	instance.unsentOrders, instance.admitted = nil, nil
	instance.issuer = &Issuer{Self: instance.process, Send: sim.send, NewID: sim.newID, disabled: sim.disabled.issuer}
	sim.join(instance)
}

func (sim *simulation) join(instance *entryInstance) {
	old, _ := instance.view.Entry(instance.process.Name)
	sim.append(placement.Record{ID: sim.newID(), Presumes: old.Joined, Body: placement.EntryJoin{Process: instance.process}})
}

func (sim *simulation) append(r placement.Record) {
	if !sim.faultsOver && rapid.IntRange(0, 5).Draw(sim.t, "late") == 5 {
		sim.delayed = append(sim.delayed, r)
		return
	}
	sim.appendNow(r)
}

func (sim *simulation) appendNow(r placement.Record) {
	data, err := r.Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	e := journal.Entry{Offset: journal.Offset(len(sim.log) + 1), Data: data}
	sim.log = append(sim.log, e)
	sim.state, _ = sim.state.Apply(e)
}

func (sim *simulation) read(instance *entryInstance) {
	to := len(sim.log)
	from := int(instance.view.Offset())
	if !sim.faultsOver && to > from && rapid.IntRange(0, 3).Draw(sim.t, "lag") == 0 {
		to = from + 1
	}
	for _, e := range sim.log[from:to] {
		instance.view, _ = instance.view.Apply(e)
	}
}

// poll updates the instance's reports of all backend servers, except for at most one
// that is unreachable.
func (sim *simulation) poll(instance *entryInstance) {
	skip := -1
	if !sim.faultsOver {
		skip = rapid.IntRange(0, 9).Draw(sim.t, "unreachable")
	}
	for i, s := range sim.servers {
		if i == skip {
			continue
		}
		e := sim.engines[s.Name].current
		instance.reports[s.Name] = Report{
			Server: s.Name, BootID: e.boot, Group: e.group, Epoch: e.epoch, Model: modelOf(e), ModelVersion: e.version,
			Loading: e.loading, At: sim.now, Observed: instance.view.Offset(),
		}
	}
}

func modelOf(e identity) string {
	if e.group == "" {
		return ""
	}
	return "m"
}

func (sim *simulation) decide(instance *entryInstance) {
	c := Controller{Policy: sim.policy, NewID: sim.newID, disabled: sim.disabled.controller, Check: Check{disabled: sim.disabled.check}}
	d := c.Decide(Input{
		Now: sim.now, Self: instance.process, Desired: sim.desired, Servers: sim.servers, State: instance.view,
		Reports: instance.reports, GoneEntries: sim.ended(instance), Sent: instance.issuer.Sent,
	})
	for _, r := range d.Records {
		sim.append(r)
	}
	instance.unsentOrders = append(instance.unsentOrders, d.Orders...)
}

// ended returns the entry instances in the instance's view of the placement whose
// runs have ended.
func (sim *simulation) ended(instance *entryInstance) []placement.Process {
	var ended []placement.Process
	table, _ := instance.view.Table()
	for _, m := range table.Members {
		running := slices.ContainsFunc(sim.instances, func(o *entryInstance) bool { return o.alive && o.process == m.Process })
		if !running {
			ended = append(ended, m.Process)
		}
	}
	return ended
}

// sendOrder sends the oldest or the newest unsent order of the instance.
func (sim *simulation) sendOrder(instance *entryInstance) {
	if len(instance.unsentOrders) == 0 {
		return
	}
	i := 0
	if !sim.faultsOver {
		i = rapid.SampledFrom([]int{0, len(instance.unsentOrders) - 1}).Draw(sim.t, "order")
	}
	o := instance.unsentOrders[i]
	instance.unsentOrders = slices.Delete(instance.unsentOrders, i, i+1)
	_ = instance.issuer.Issue(context.Background(), instance.view, o)
}

// send implements Issuer.Send. The engine applies the order, or the order is not
// sent, or its answer is lost and the engine applies it later.
func (sim *simulation) send(_ context.Context, o Order) error {
	e := sim.engines[o.Server]
	d := orderDelivery{e.current.boot, o}
	outcome := 2
	if !sim.faultsOver {
		outcome = rapid.IntRange(0, 4).Draw(sim.t, "sending")
	}
	switch outcome {
	case 0:
		return ErrNotSent
	case 1:
		e.delayedOrders = append(e.delayedOrders, d)
		return errLost
	}
	sim.applyOrder(d)
	return nil
}

func (sim *simulation) deliverDelayed(server string) {
	e := sim.engines[server]
	if len(e.delayedOrders) == 0 {
		return
	}
	d := e.delayedOrders[0]
	e.delayedOrders = e.delayedOrders[1:]
	sim.applyOrder(d)
}

// applyOrder makes the engine apply an order, and checks that the order is not
// stale.
func (sim *simulation) applyOrder(d orderDelivery) {
	e := sim.engines[d.order.Server]
	if e.checksFence && d.order.Fence < e.fence {
		return
	}
	group, assigned := sim.state.GroupOf(d.order.Server)
	g, _ := sim.state.Group(group)
	if !e.checksFence && assigned && g.Epoch != d.order.Epoch {
		sim.t.Fatalf("%q applies an order of epoch %d, but is in group %q at epoch %d", d.order.Server, d.order.Epoch, group, g.Epoch)
	}
	if e.checksFence && d.order.Epoch < e.current.epoch {
		sim.t.Fatalf("%q goes back from epoch %d to epoch %d", d.order.Server, e.current.epoch, d.order.Epoch)
	}
	e.fence = d.order.Fence
	if e.current.group == d.order.Group && e.current.epoch == d.order.Epoch {
		return
	}
	sim.setIdentity(e, identity{e.current.boot, d.order.Group, d.order.Epoch, d.order.ModelVersion, true})
}

func (sim *simulation) setIdentity(e *engine, next identity) {
	e.history = append(e.history, pastIdentity{e.current, sim.now})
	e.current = next
}

func (sim *simulation) restart(server string) {
	e := sim.engines[server]
	e.boots++
	e.delayedOrders = nil
	e.fence = 0
	sim.setIdentity(e, identity{boot: fmt.Sprint(e.boots)})
}

// hadIdentity reports whether the engine had the identity at any time since the
// given one.
func (e *engine) hadIdentity(id identity, since time.Time) bool {
	return e.current == id || slices.ContainsFunc(e.history, func(p pastIdentity) bool { return p.identity == id && !p.end.Before(since) })
}

// runInstance runs one instance and its engines for enough rounds to make the groups
// whole.
func (sim *simulation) runInstance(instance *entryInstance) {
	for range 12 {
		sim.read(instance)
		sim.poll(instance)
		sim.decide(instance)
		for len(instance.unsentOrders) > 0 {
			sim.sendOrder(instance)
		}
		for _, r := range instance.issuer.PendingReleases(instance.view) {
			sim.append(r)
		}
		for _, s := range sim.servers {
			sim.finishLoading(sim.engines[s.Name])
		}
	}
}

// runWithoutFaults stops all faults, runs one instance alone and restarts the
// backend servers in quarantine. All desired groups have to be whole in the end.
func (sim *simulation) runWithoutFaults() {
	sim.faultsOver = true
	instance, other := sim.instances[0], sim.instances[1]
	other.alive = false
	if !instance.alive {
		sim.start(instance)
	}
	for _, r := range sim.delayed {
		sim.appendNow(r)
	}
	for range 4 {
		sim.read(instance)
		if !instance.view.HasJoined(instance.process) {
			sim.join(instance)
		}
		for _, q := range instance.view.Quarantines() {
			sim.restart(q.Server)
		}
		sim.now = sim.now.Add(time.Second)
		sim.runInstance(instance)
	}
	for _, g := range sim.desired {
		if _, err := (Check{}).Whole(instance.view, g.Name, instance.reports, sim.now); err != nil {
			sim.t.Fatalf("a group is not whole after all faults have stopped: %v", err)
		}
	}
}

func (sim *simulation) finishLoading(e *engine) {
	if !e.current.loading {
		return
	}
	next := e.current
	next.loading = false
	sim.setIdentity(e, next)
}

// admit admits a request to a group, and checks that every member had the epoch and
// was loaded at some time within the greatest age of a report.
func (sim *simulation) admit(instance *entryInstance) {
	group := rapid.SampledFrom([]string{"g1", "g2"}).Draw(sim.t, "group")
	ticket, err := Check{disabled: sim.disabled.check}.Whole(instance.view, group, instance.reports, sim.now)
	if err != nil {
		return
	}
	g, _ := instance.view.Group(group)
	for _, m := range ticket.Members {
		want := identity{m.BootID, group, ticket.Epoch, g.ModelVersion, false}
		if e := sim.engines[m.Name]; !e.hadIdentity(want, sim.now.Add(-DefaultMaxAge)) {
			sim.t.Fatalf("request admitted to group %q at epoch %d, but the state of %q is %+v", group, ticket.Epoch, m.Name, e.current)
		}
	}
	instance.admitted = append(instance.admitted, ticket)
}

// respond lets the head of a group respond to an admitted request. It checks that a
// response that StillWhole accepts comes from the run and the epoch of the ticket.
func (sim *simulation) respond(instance *entryInstance) {
	if len(instance.admitted) == 0 {
		return
	}
	ticket := instance.admitted[0]
	instance.admitted = instance.admitted[1:]
	m := ticket.Members[0]
	e := sim.engines[m.Name].current
	answer := ResponseIdentity{Server: m.Name, BootID: e.boot, Group: e.group, Epoch: e.epoch}
	if (Check{disabled: sim.disabled.check}).StillWhole(instance.view, ticket, instance.reports, answer) != nil {
		return
	}
	if e.boot != m.BootID || e.epoch != ticket.Epoch {
		sim.t.Fatalf("response of %q in state %+v is accepted for epoch %d", m.Name, e, ticket.Epoch)
	}
}

// checkMembership fails the test if a backend server is in two groups.
func (sim *simulation) checkMembership() {
	groupOf := make(map[string]string)
	for _, g := range sim.state.Groups() {
		for _, m := range g.Members {
			if other, ok := groupOf[m.Name]; ok {
				sim.t.Fatalf("%q is in groups %q and %q", m.Name, other, g.Name)
			}
			groupOf[m.Name] = g.Name
		}
	}
}
