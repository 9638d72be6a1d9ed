package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

const (
	groupTick             = time.Second
	groupDomains          = 4
	acceleratorsPerServer = 8
	weightBytes           = 40 << 30 // per group member
	storeBytesPerSecond   = 10 << 30 // of the weight store, shared by all servers
	loadBytesPerSecond    = 2 << 30  // maximum of one server
	storeLoads            = storeBytesPerSecond / loadBytesPerSecond
)

// groupRun runs a group controller with simulated backend servers in virtual time.
type groupRun struct {
	now     time.Duration
	rand    *rand.Rand
	control group.Controller
	issuer  *group.Issuer
	input   group.Input
	state   placement.State
	log     []journal.Entry
	ids     int
	servers []*simServer
	byName  map[string]*simServer

	countUsage bool
	downtime   time.Duration // sum over all desired groups
	stranded   float64       // accelerator seconds in incomplete groups
	spare      float64       // accelerator seconds outside of any group
	wholeAt    map[string]time.Duration
}

// simServer is a simulated backend server that loads weights from the store.
type simServer struct {
	report      group.Report
	boots       int
	dead        bool
	bytesToLoad float64 // remaining bytes
}

// groupFleet describes the servers and groups of a run.
type groupFleet struct {
	groupsPerDomain int
	size            int // members per group
	spares          int // per domain
}

func newGroupRun(seed uint64, f groupFleet, policy group.Policy, maxLoads int) *groupRun {
	r := &groupRun{
		rand:    rand.New(rand.NewPCG(seed, 1)),
		byName:  make(map[string]*simServer),
		wholeAt: make(map[string]time.Duration),
	}
	self := placement.Process{Name: "entry", BootID: "1"}
	r.control = group.Controller{Policy: policy, MaxLoads: maxLoads, NewID: r.newID}
	r.issuer = &group.Issuer{Self: self, Send: r.applyOrder, NewID: r.newID}
	r.input = group.Input{Self: self, Reports: group.Reports{}, GoneServers: make(map[string]bool), Sent: r.issuer.Sent}
	for d := range groupDomains {
		r.addDomain(d, f)
	}
	r.append(placement.Record{ID: r.newID(), Body: placement.EntryJoin{Process: self}})
	return r
}

func (r *groupRun) addDomain(d int, f groupFleet) {
	domain := fmt.Sprint("domain-", d)
	var names []string
	for i := range f.groupsPerDomain*f.size + f.spares {
		s := fleet.BackendServer{Name: fmt.Sprintf("server-%d-%02d", d, i), FabricDomain: domain, Accelerators: acceleratorsPerServer}
		s.ChecksFence = i%2 == 0
		r.input.Servers = append(r.input.Servers, s)
		names = append(names, s.Name)
		server := &simServer{boots: 1, report: group.Report{Server: s.Name, BootID: "1"}}
		r.servers = append(r.servers, server)
		r.byName[s.Name] = server
	}
	for i := range f.groupsPerDomain {
		members := names[i*f.size : (i+1)*f.size]
		r.input.Desired = append(r.input.Desired, fleet.Group{
			Name: fmt.Sprintf("group-%d-%d", d, i), Model: "model", ModelVersion: "1", Members: members})
	}
}

func (r *groupRun) newID() string {
	r.ids++
	return fmt.Sprint(r.ids)
}

func (r *groupRun) append(rec placement.Record) {
	data, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	e := journal.Entry{Offset: journal.Offset(len(r.log) + 1), Data: data}
	r.log = append(r.log, e)
	r.state, _ = r.state.Apply(e)
}

// applyOrder makes a server join the group of an order and load its model.
func (r *groupRun) applyOrder(_ context.Context, o group.Order) error {
	s := r.byName[o.Server]
	if s.dead {
		return group.ErrNotSent
	}
	if s.report.Model != o.Model || s.report.ModelVersion != o.ModelVersion {
		s.bytesToLoad = weightBytes
	}
	s.report.Group, s.report.Epoch = o.Group, o.Epoch
	s.report.Model, s.report.ModelVersion = o.Model, o.ModelVersion
	return nil
}

// runUntil advances the simulation. In each tick, servers load and report, and
// then the controller decides.
func (r *groupRun) runUntil(end time.Duration) {
	for r.now < end {
		r.now += groupTick
		r.load()
		r.report()
		r.decide()
		r.countInterval()
	}
}

// load divides the store's bandwidth among the servers that load.
func (r *groupRun) load() {
	loading := 0
	for _, s := range r.servers {
		if s.bytesToLoad > 0 && !s.dead {
			loading++
		}
	}
	if loading == 0 {
		return
	}
	rate := min(float64(loadBytesPerSecond), float64(storeBytesPerSecond)/float64(loading))
	for _, s := range r.servers {
		if s.bytesToLoad > 0 && !s.dead {
			s.bytesToLoad -= rate * groupTick.Seconds()
		}
	}
}

func (r *groupRun) report() {
	r.input.Now = time.Unix(0, 0).Add(r.now)
	for _, s := range r.servers {
		if s.dead {
			continue
		}
		s.report.Loading = s.bytesToLoad > 0
		s.report.At = r.input.Now
		s.report.Observed = r.state.Offset()
		r.input.Reports[s.report.Server] = s.report
	}
}

func (r *groupRun) decide() {
	r.input.State = r.state
	d := r.control.Decide(r.input)
	for _, rec := range d.Records {
		r.append(rec)
	}
	for _, o := range d.Orders {
		// The outcome shows in PendingReleases or in the next report.
		_ = r.issuer.Issue(context.Background(), r.state, o)
	}
	for _, rec := range r.issuer.PendingReleases(r.state) {
		r.append(rec)
	}
}

// countInterval adds one tick to the downtime and to the stranded and spare
// accelerator seconds.
func (r *groupRun) countInterval() {
	whole := make(map[string]bool)
	for _, g := range r.input.Desired {
		_, err := r.control.Check.Whole(r.state, g.Name, r.input.Reports, r.input.Now)
		whole[g.Name] = err == nil
		if _, ok := r.wholeAt[g.Name]; err == nil && !ok {
			r.wholeAt[g.Name] = r.now
		}
		if err != nil && r.countUsage {
			r.downtime += groupTick
		}
	}
	if !r.countUsage {
		return
	}
	for _, s := range r.servers {
		name, in := r.state.GroupOf(s.report.Server)
		switch {
		case s.dead:
		case !in:
			r.spare += acceleratorsPerServer * groupTick.Seconds()
		case !whole[name]:
			r.stranded += acceleratorsPerServer * groupTick.Seconds()
		}
	}
}

func (r *groupRun) kill(name string) { r.byName[name].dead = true }

// restart starts the server with a new boot ID at the same address.
func (r *groupRun) restart(name string) {
	s := r.byName[name]
	s.dead = false
	s.boots++
	s.bytesToLoad = 0
	s.report = group.Report{Server: name, BootID: fmt.Sprint(s.boots)}
}
