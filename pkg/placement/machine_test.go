package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/internal/oracle"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

// instance is a simulated entry instance, which may pause between any two actions
// and continue much later.
type instance struct {
	process      Process
	running      bool
	state        State
	scheduled    map[journal.Offset]bool
	unsent       []Claim                         // claimed orders not sent yet
	unanswered   []Claim                         // orders sent, without a response yet
	outcomes     map[journal.Offset]claimOutcome // by offset of the claim
	observations map[string]observation
}

type claimOutcome struct {
	claim  Claim
	result Outcome
}

// observation is the last report that an instance read from a backend server.
type observation struct {
	bootID   string
	epoch    journal.Offset
	observed journal.Offset
}

// fakeServer is a backend server that applies every order, as it does not check
// fencing numbers.
type fakeServer struct {
	bootNumber int
	epoch      journal.Offset
	inbox      []request
}

type request struct {
	bootNumber int // run that accepted the connection
	claim      Claim
}

type simulation struct {
	t         *rapid.T
	stream    stream
	delayed   []Record
	lastID    int
	lastBoot  int
	instances []*instance
	servers   map[string]*fakeServer
}

var (
	serverNames   = []string{"s1", "s2", "s3"}
	fabricDomains = map[string]string{"s1": "d1", "s2": "d1", "s3": "d2"}
)

func newSimulation(t *rapid.T, disabled guardSet) *simulation {
	sim := &simulation{t: t, servers: make(map[string]*fakeServer)}
	sim.stream.state.disabledGuards = disabled
	for _, s := range serverNames {
		sim.servers[s] = &fakeServer{bootNumber: 1}
	}
	for _, name := range []string{"e1", "e2"} {
		inst := &instance{process: Process{Name: name}}
		inst.state.disabledGuards = disabled
		sim.instances = append(sim.instances, inst)
		sim.start(inst)
		sim.append(0, EntryJoin{Process: inst.process})
	}
	return sim
}

func (sim *simulation) start(inst *instance) {
	sim.lastBoot++
	inst.process.BootID = fmt.Sprint("b", sim.lastBoot)
	inst.running = true
	inst.scheduled = make(map[journal.Offset]bool)
	inst.outcomes = make(map[journal.Offset]claimOutcome)
	inst.observations = make(map[string]observation)
	inst.unsent, inst.unanswered = nil, nil
}

func (sim *simulation) chooseInstance() *instance {
	return rapid.SampledFrom(sim.instances).Draw(sim.t, "runner")
}
func (sim *simulation) chooseServer() string {
	return rapid.SampledFrom(serverNames).Draw(sim.t, "server")
}

// append appends the record to the log or to the delayed records.
func (sim *simulation) append(presumes journal.Offset, body Body) {
	sim.lastID++
	r := Record{ID: fmt.Sprint(sim.lastID), Presumes: presumes, Body: body}
	if rapid.IntRange(0, 4).Draw(sim.t, "late") == 4 {
		sim.delayed = append(sim.delayed, r)
		return
	}
	sim.addRecord(r)
}

func (sim *simulation) addRecord(r Record) {
	data, err := r.Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.stream.addData(data)
}

func (sim *simulation) read(inst *instance) {
	from := int(inst.state.Offset())
	to := len(sim.stream.entries)
	if rapid.Bool().Draw(sim.t, "lag") && to > from {
		to = from + 1
	}
	for _, e := range sim.stream.entries[from:to] {
		inst.state, _ = inst.state.Apply(e)
	}
	for _, c := range inst.state.Claims() {
		if c.Claimant == inst.process && !inst.scheduled[c.Offset] {
			inst.scheduled[c.Offset] = true
			inst.unsent = append(inst.unsent, c)
		}
	}
}

func (sim *simulation) assign(inst *instance) {
	group := rapid.SampledFrom([]string{"g", "h"}).Draw(sim.t, "group")
	old, _ := inst.state.Group(group)
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(serverNames), 1, 2, rapid.ID).Draw(sim.t, "members")
	body := GroupAssign{Group: group, FabricDomain: fabricDomains[names[0]]}
	for _, n := range names {
		body.Members = append(body.Members, Member{n, fmt.Sprint(sim.servers[n].bootNumber), fabricDomains[n]})
	}
	sim.append(old.Epoch, body)
}

func (sim *simulation) claim(inst *instance) {
	server := sim.chooseServer()
	if group, ok := inst.state.GroupOf(server); ok {
		g, _ := inst.state.Group(group)
		sim.append(g.Epoch, OrderClaim{server, group, inst.process})
	}
}

func (sim *simulation) send(inst *instance) {
	if len(inst.unsent) == 0 {
		return
	}
	c := inst.unsent[0]
	inst.unsent = inst.unsent[1:]
	if rapid.IntRange(0, 3).Draw(sim.t, "refused") == 0 {
		inst.outcomes[c.Offset] = claimOutcome{c, OutcomeNotSent}
		return
	}
	target := sim.servers[c.Server]
	target.inbox = append(target.inbox, request{target.bootNumber, c})
	inst.unanswered = append(inst.unanswered, c)
}

// deliver applies the backend server's next order, and checks that a member of a
// group applies no order of another epoch.
func (sim *simulation) deliver(server string) {
	target := sim.servers[server]
	if len(target.inbox) == 0 {
		return
	}
	req := target.inbox[0]
	target.inbox = target.inbox[1:]
	target.epoch = req.claim.Epoch
	group, assigned := sim.stream.state.GroupOf(server)
	g, _ := sim.stream.state.Group(group)
	if assigned && g.Epoch != req.claim.Epoch {
		sim.t.Fatalf("%q applied the order of epoch %d, but is in group %q at epoch %d", server, req.claim.Epoch, group, g.Epoch)
	}
	if rapid.Bool().Draw(sim.t, "answered") {
		sim.recordOutcome(req.claim, OutcomeApplied)
	}
}

// recordOutcome records the outcome of an order for the claimant's run, if that run
// still waits for it.
func (sim *simulation) recordOutcome(c Claim, result Outcome) {
	for _, inst := range sim.instances {
		for i, w := range inst.unanswered {
			if inst.process == c.Claimant && inst.running && w.Offset == c.Offset {
				inst.unanswered = append(inst.unanswered[:i:i], inst.unanswered[i+1:]...)
				inst.outcomes[c.Offset] = claimOutcome{c, result}
				return
			}
		}
	}
}

func (sim *simulation) release(inst *instance) {
	for _, c := range sorted(inst.state.claims) {
		if o, ok := inst.outcomes[c.Offset]; ok {
			sim.append(c.Offset, OrderRelease{Server: c.Server, Claimant: inst.process, Outcome: o.result})
			return
		}
	}
}

func (sim *simulation) restartServer(server string) {
	target := sim.servers[server]
	target.bootNumber++
	target.epoch = 0
	target.inbox = nil
}

// endQuarantines writes records that update or end each quarantine by the
// instance's last observation of the backend server.
func (sim *simulation) endQuarantines(inst *instance) {
	for _, q := range inst.state.Quarantines() {
		seen, ok := inst.observations[q.Server]
		if !ok {
			continue
		}
		if q.BootID == "" && seen.epoch != q.Epoch {
			sim.append(q.Offset, SetQuarantine{Server: q.Server, BootID: seen.bootID, Observed: seen.observed})
			continue
		}
		sim.append(q.Offset, Unquarantine{Server: q.Server, BootID: seen.bootID, Observed: seen.observed, Epoch: seen.epoch})
	}
}

// removeGone writes an EntryGone for each process that has joined and ended.
func (sim *simulation) removeGone(inst *instance) {
	for _, old := range inst.state.table.Members {
		running := false
		for _, other := range sim.instances {
			running = running || other.running && other.process == old.Process
		}
		if !running {
			sim.append(old.Joined, EntryGone{old.Process})
		}
	}
}

func (sim *simulation) check() {
	groupOf := make(map[string]string)
	for _, g := range sim.stream.state.Groups() {
		for _, m := range g.Members {
			if other, ok := groupOf[m.Name]; ok {
				sim.t.Fatalf("%q is in groups %q and %q", m.Name, other, g.Name)
			}
			groupOf[m.Name] = g.Name
			if fabricDomains[m.Name] != g.FabricDomain {
				sim.t.Fatalf("%q of fabric domain %q is in a group of %q", m.Name, fabricDomains[m.Name], g.FabricDomain)
			}
		}
	}
}

// simulate returns a property in which entry instances write to one log
// concurrently, pause, end and restart, with backend servers that do not check
// fencing numbers.
func simulate(disabled guardSet) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(t, disabled)
		onInstance := func(act func(r *instance)) func(*rapid.T) {
			return func(t *rapid.T) {
				sim.t = t
				if r := sim.chooseInstance(); r.running {
					act(r)
				}
			}
		}
		onServer := func(act func(string)) func(*rapid.T) {
			return func(t *rapid.T) {
				sim.t = t
				act(sim.chooseServer())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { sim.check() },
			"assign":  onInstance(func(r *instance) { sim.read(r); sim.assign(r) }),
			"claim":   onInstance(func(r *instance) { sim.read(r); sim.claim(r) }),
			"claim2":  onInstance(func(r *instance) { sim.read(r); sim.claim(r) }),
			"send":    onInstance(sim.send),
			"read":    onInstance(sim.read),
			"deliver": onServer(sim.deliver),
			"timeout": onInstance(func(r *instance) {
				if len(r.unanswered) > 0 {
					sim.recordOutcome(r.unanswered[0], OutcomeUnknown)
				}
			}),
			"release": onInstance(func(r *instance) { sim.read(r); sim.release(r) }),
			"arrive": func(*rapid.T) {
				if len(sim.delayed) > 0 {
					sim.addRecord(sim.delayed[0])
					sim.delayed = sim.delayed[1:]
				}
			},
			"end": onInstance(func(r *instance) { r.running = rapid.IntRange(0, 2).Draw(sim.t, "lives") > 0 }),
			"start": func(t *rapid.T) {
				sim.t = t
				if r := sim.chooseInstance(); !r.running {
					sim.start(r)
					old, _ := r.state.Entry(r.process.Name)
					sim.append(old.Joined, EntryJoin{Process: r.process})
				}
			},
			"gone": onInstance(func(r *instance) { sim.read(r); sim.removeGone(r) }),
			"takeover": onInstance(func(r *instance) {
				for _, c := range r.state.Claims() {
					sim.append(c.Offset, OrderTakeover{c.Server})
				}
			}),
			"look": onInstance(func(r *instance) {
				s := sim.chooseServer()
				target := sim.servers[s]
				r.observations[s] = observation{fmt.Sprint(target.bootNumber), target.epoch, r.state.Offset()}
			}),
			"lift":    onInstance(func(r *instance) { sim.read(r); sim.endQuarantines(r) }),
			"restart": onServer(sim.restartServer),
		})
	}
}

func TestSimulation(t *testing.T) {
	rapid.Check(t, simulate(0))
}

func TestSimulationGuards(t *testing.T) {
	guards := map[string]guardSet{
		"one group per server":              guardSingleGroup,
		"one fabric domain per group":       guardFabricDomain,
		"claimed server joins no group":     guardClaimedServer,
		"quarantined server joins no group": guardQuarantine,
		"quarantine after unknown outcome":  guardUnknownOutcome,
	}
	for name, g := range guards {
		t.Run(name, func(t *testing.T) { oracle.WantViolation(t, simulate(g)) })
	}
}

// In each test case the last step begins a new epoch for a server that an order of
// the old epoch may still reach. All steps are accepted only if the guard is
// disabled.
func TestGuardsAgainstStaleOrders(t *testing.T) {
	join := step{0, EntryJoin{Process: e1}, ""}
	assignGroup := step{0, assign("g", "s1"), ""}
	claim := step{2, OrderClaim{"s1", "g", e1}, ""}
	reassignGroup := step{2, assign("g", "s1"), ""}
	endQuarantineAfterRestart := []step{{4, SetQuarantine{Server: "s1", BootID: "1", Observed: 4}, ""}, {5, Unquarantine{Server: "s1", BootID: "2", Observed: 5}, ""}, reassignGroup}
	unknownOutcome := OrderRelease{Server: "s1", Claimant: e1}
	tests := []struct {
		name  string
		guard guardSet
		steps []step
	}{
		{"order of another claimant is applied first", guardSingleClaim, []step{join, assignGroup, claim, {0, EntryJoin{Process: e2}, ""},
			{2, OrderClaim{"s1", "g", e2}, ""}, {5, OrderRelease{"s1", e2, OutcomeApplied, ""}, ""}, reassignGroup}},
		{"claimant is still running and sends to the next run", guardTakeover, append([]step{join, assignGroup, claim, {3, OrderTakeover{"s1"}, ""}}, endQuarantineAfterRestart...)},
		{"effect of the first order is taken for that of a second", guardSingleOrder, []step{join, assignGroup, claim,
			{3, OrderRelease{"s1", e1, OutcomeApplied, ""}, ""}, claim, {5, unknownOutcome, ""}, {6, Unquarantine{Server: "s1", Epoch: 2}, ""}, reassignGroup}},
		{"a run from before the quarantine is mistaken for a restart", guardObservation, []step{join, assignGroup, claim, {3, unknownOutcome, ""},
			{4, SetQuarantine{Server: "s1", BootID: "2", Observed: 4}, ""}, {5, Unquarantine{Server: "s1", BootID: "1", Observed: 2}, ""}, reassignGroup}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, disabled := range []guardSet{0, tt.guard} {
				var s stream
				s.state.disabledGuards = disabled
				allAccepted := true
				for _, st := range tt.steps {
					allAccepted = s.add(t, st.presumes, st.body).Accepted && allAccepted
				}
				NewWithT(t).Expect(allAccepted).To(Equal(disabled != 0))
			}
		})
	}
}

func TestRacingControllersGuard(t *testing.T) {
	for disabled, want := range map[guardSet]bool{0: false, guardGroupPresumes: true} {
		var s stream
		s.state.disabledGuards = disabled
		s.add(t, 0, assign("g", "s1"))
		NewWithT(t).Expect(s.add(t, 0, assign("g", "s2")).Accepted).To(Equal(want))
	}
}
