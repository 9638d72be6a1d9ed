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

var errLost = errors.New("the answer was lost")

// identity is what an engine is at one time.
type identity struct {
	boot    string
	group   string
	epoch   journal.Offset
	version string
	loading bool
}

// engine obeys orders. It checks fencing numbers or ignores them.
type engine struct {
	checksFence bool
	boots       int
	now         identity
	until       []past // what it was before
	fence       journal.Offset
	inbox       []delivery
}

type past struct {
	identity
	end time.Time
}

type delivery struct {
	boot  string // run that accepted the connection
	order Order
}

// node is an entry instance that may stop anywhere and go on much later.
type node struct {
	process placement.Process
	alive   bool
	view    placement.State
	reports Reports
	issuer  *Issuer
	todo    []Order // decided and not sent yet
	flights []Ticket
}

type switches struct {
	check, control, issue guard
}

type arena struct {
	t       *rapid.T
	off     switches
	now     time.Time
	entries []journal.Entry
	state   placement.State
	late    []placement.Record
	ids     int
	boots   int
	nodes   []*node
	engines map[string]*engine
	servers []fleet.BackendServer
	desired []fleet.Group
	policy  Policy
	calm    bool // nothing goes wrong any more
}

func newArena(t *rapid.T, off switches) *arena {
	a := &arena{t: t, off: off, now: time.Unix(0, 0), engines: make(map[string]*engine)}
	a.policy = rapid.SampledFrom([]Policy{Wait, OtherDomain, Dissolve}).Draw(t, "policy")
	for i := 1; i <= 6; i++ {
		s := fleet.BackendServer{Name: fmt.Sprint("s", i), FabricDomain: fmt.Sprint("d", (i+2)/3), ChecksFence: i%3 == 0}
		a.servers = append(a.servers, s)
		a.engines[s.Name] = &engine{checksFence: s.ChecksFence, boots: 1, now: identity{boot: "1"}}
	}
	a.desired = []fleet.Group{desired("g1", "s3", "s2")}
	for _, name := range []string{"e1", "e2"} {
		n := &node{process: placement.Process{Name: name}}
		a.nodes = append(a.nodes, n)
		a.start(n)
	}
	return a
}

func (a *arena) newID() string {
	a.ids++
	return fmt.Sprint(a.ids)
}

func (a *arena) start(n *node) {
	a.boots++
	n.process.BootID = fmt.Sprint("b", a.boots)
	n.alive = true
	n.reports = Reports{}
	n.todo, n.flights = nil, nil
	n.issuer = &Issuer{Self: n.process, Send: a.send, NewID: a.newID, disabled: a.off.issue}
	a.join(n)
}

func (a *arena) join(n *node) {
	old, _ := n.view.Entry(n.process.Name)
	a.append(placement.Record{ID: a.newID(), Presumes: old.Joined, Body: placement.EntryJoin{Process: n.process}})
}

func (a *arena) append(r placement.Record) {
	if !a.calm && rapid.IntRange(0, 5).Draw(a.t, "late") == 5 {
		a.late = append(a.late, r)
		return
	}
	a.arrive(r)
}

func (a *arena) arrive(r placement.Record) {
	data, err := r.Encode()
	if err != nil {
		a.t.Fatal(err)
	}
	e := journal.Entry{Offset: journal.Offset(len(a.entries) + 1), Data: data}
	a.entries = append(a.entries, e)
	a.state, _ = a.state.Apply(e)
}

func (a *arena) read(n *node) {
	to := len(a.entries)
	from := int(n.view.Offset())
	if !a.calm && to > from && rapid.IntRange(0, 3).Draw(a.t, "lag") == 0 {
		to = from + 1
	}
	for _, e := range a.entries[from:to] {
		n.view, _ = n.view.Apply(e)
	}
}

// poll asks some of the servers, with the view that the node has.
func (a *arena) poll(n *node) {
	skip := -1
	if !a.calm {
		skip = rapid.IntRange(0, 9).Draw(a.t, "unreachable")
	}
	for i, s := range a.servers {
		if i == skip {
			continue
		}
		e := a.engines[s.Name].now
		n.reports[s.Name] = Report{
			Server: s.Name, BootID: e.boot, Group: e.group, Epoch: e.epoch, Model: modelOf(e), ModelVersion: e.version,
			Loading: e.loading, At: a.now, Observed: n.view.Offset(),
		}
	}
}

func modelOf(e identity) string {
	if e.group == "" {
		return ""
	}
	return "m"
}

func (a *arena) control(n *node) {
	c := Controller{Policy: a.policy, NewID: a.newID, disabled: a.off.control, Check: Check{disabled: a.off.check}}
	d := c.Decide(Input{
		Now: a.now, Self: n.process, Desired: a.desired, Servers: a.servers, State: n.view,
		Reports: n.reports, GoneEntries: a.ended(n), Sent: n.issuer.Sent,
	})
	for _, r := range d.Records {
		a.append(r)
	}
	n.todo = append(n.todo, d.Orders...)
}

// ended returns the members of the node's table whose runs have ended.
func (a *arena) ended(n *node) []placement.Process {
	var ended []placement.Process
	table, _ := n.view.Table()
	for _, m := range table.Members {
		running := slices.ContainsFunc(a.nodes, func(o *node) bool { return o.alive && o.process == m.Process })
		if !running {
			ended = append(ended, m.Process)
		}
	}
	return ended
}

// issue sends the oldest or the newest order that the node has decided on.
func (a *arena) issue(n *node) {
	if len(n.todo) == 0 {
		return
	}
	i := 0
	if !a.calm {
		i = rapid.SampledFrom([]int{0, len(n.todo) - 1}).Draw(a.t, "order")
	}
	o := n.todo[i]
	n.todo = slices.Delete(n.todo, i, i+1)
	_ = n.issuer.Issue(context.Background(), n.view, o)
}

// send is the Issuer's seam: the order may be refused, obeyed, or be on its way
// while its answer is lost.
func (a *arena) send(_ context.Context, o Order) error {
	e := a.engines[o.Server]
	d := delivery{e.now.boot, o}
	sending := 2
	if !a.calm {
		sending = rapid.IntRange(0, 4).Draw(a.t, "sending")
	}
	switch sending {
	case 0:
		return ErrNotSent
	case 1:
		e.inbox = append(e.inbox, d)
		return errLost
	}
	a.obey(d)
	return nil
}

func (a *arena) deliver(server string) {
	e := a.engines[server]
	if len(e.inbox) == 0 {
		return
	}
	d := e.inbox[0]
	e.inbox = e.inbox[1:]
	a.obey(d)
}

// obey makes the engine follow an order, and checks that it is not a stale one.
func (a *arena) obey(d delivery) {
	e := a.engines[d.order.Server]
	if e.checksFence && d.order.Fence < e.fence {
		return
	}
	group, in := a.state.GroupOf(d.order.Server)
	g, _ := a.state.Group(group)
	if !e.checksFence && in && g.Epoch != d.order.Epoch {
		a.t.Fatalf("%q obeys the order of epoch %d in group %q at epoch %d", d.order.Server, d.order.Epoch, group, g.Epoch)
	}
	if e.checksFence && d.order.Epoch < e.now.epoch {
		a.t.Fatalf("%q goes back from epoch %d to %d", d.order.Server, e.now.epoch, d.order.Epoch)
	}
	e.fence = d.order.Fence
	if e.now.group == d.order.Group && e.now.epoch == d.order.Epoch {
		return
	}
	a.become(e, identity{e.now.boot, d.order.Group, d.order.Epoch, d.order.ModelVersion, true})
}

func (a *arena) become(e *engine, next identity) {
	e.until = append(e.until, past{e.now, a.now})
	e.now = next
}

func (a *arena) restart(server string) {
	e := a.engines[server]
	e.boots++
	e.inbox = nil
	e.fence = 0
	a.become(e, identity{boot: fmt.Sprint(e.boots)})
}

// was reports whether the engine had the identity at some time since then.
func (e *engine) was(id identity, since time.Time) bool {
	return e.now == id || slices.ContainsFunc(e.until, func(p past) bool { return p.identity == id && !p.end.Before(since) })
}

// serve lets one node work until its groups should be whole.
func (a *arena) serve(n *node) {
	for range 12 {
		a.read(n)
		a.poll(n)
		a.control(n)
		for len(n.todo) > 0 {
			a.issue(n)
		}
		for _, r := range n.issuer.PendingReleases(n.view) {
			a.append(r)
		}
		for _, s := range a.servers {
			a.load(a.engines[s.Name])
		}
	}
}

// settle ends all faults and lets one node work: what is desired has to be whole
// in the end, after the servers in quarantine were restarted.
func (a *arena) settle() {
	a.calm = true
	n, other := a.nodes[0], a.nodes[1]
	other.alive = false
	if !n.alive {
		a.start(n)
	}
	for _, r := range a.late {
		a.arrive(r)
	}
	for range 4 {
		a.read(n)
		if !n.view.Member(n.process) {
			a.join(n)
		}
		for _, q := range n.view.Quarantines() {
			a.restart(q.Server)
		}
		a.now = a.now.Add(time.Second)
		a.serve(n)
	}
	for _, g := range a.desired {
		if _, err := (Check{}).Whole(n.view, g.Name, n.reports, a.now); err != nil {
			a.t.Fatalf("after all faults: %v", err)
		}
	}
}

func (a *arena) load(e *engine) {
	if !e.now.loading {
		return
	}
	next := e.now
	next.loading = false
	a.become(e, next)
}

// admit chooses a group for a request, and checks that every member was whole
// within the greatest age of a report.
func (a *arena) admit(n *node) {
	group := rapid.SampledFrom([]string{"g1", "g2"}).Draw(a.t, "group")
	ticket, err := Check{disabled: a.off.check}.Whole(n.view, group, n.reports, a.now)
	if err != nil {
		return
	}
	g, _ := n.view.Group(group)
	for _, m := range ticket.Members {
		want := identity{m.BootID, group, ticket.Epoch, g.ModelVersion, false}
		if e := a.engines[m.Name]; !e.was(want, a.now.Add(-DefaultMaxAge)) {
			a.t.Fatalf("admitted to group %q at epoch %d, but %q is %+v", group, ticket.Epoch, m.Name, e.now)
		}
	}
	n.flights = append(n.flights, ticket)
}

// answer lets the first member answer a request, and checks that an answer that
// passes comes from the run and the epoch that was chosen.
func (a *arena) answer(n *node) {
	if len(n.flights) == 0 {
		return
	}
	ticket := n.flights[0]
	n.flights = n.flights[1:]
	m := ticket.Members[0]
	e := a.engines[m.Name].now
	from := ResponseIdentity{Server: m.Name, BootID: e.boot, Group: e.group, Epoch: e.epoch}
	if (Check{disabled: a.off.check}).StillWhole(n.view, ticket, n.reports, from) != nil {
		return
	}
	if e.boot != m.BootID || e.epoch != ticket.Epoch {
		a.t.Fatalf("answer of %q from %+v passes for epoch %d", m.Name, e, ticket.Epoch)
	}
}

// check finds an instance in two groups.
func (a *arena) check() {
	in := make(map[string]string)
	for _, g := range a.state.Groups() {
		for _, m := range g.Members {
			if other, ok := in[m.Name]; ok {
				a.t.Fatalf("%q is in groups %q and %q", m.Name, other, g.Name)
			}
			in[m.Name] = g.Name
		}
	}
}
