package group

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

func TestControllerFormsWholeGroups(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		f := newFixture(serversInTwoDomains(checksFence), []fleet.Group{desiredGroup("g1", "s1", "s2"), desiredGroup("g2", "s5", "s6")})
		f.runRounds(8)
		g := NewWithT(t)
		g.Expect(f.checkWhole("g1")).To(Succeed())
		g.Expect(f.checkWhole("g2")).To(Succeed())
		g.Expect(f.refused).To(BeEmpty())
		wantMembers(t, f, "g1", "s1", "s2")
		group, _ := f.state.Group("g1")
		g.Expect(group.Phase).To(Equal(placement.PhaseServing))
		g.Expect(f.runRound().Records).To(BeEmpty())
	}
}

func wantMembers(t *testing.T, f *fixture, group string, names ...string) {
	t.Helper()
	g, _ := f.state.Group(group)
	var got []string
	for _, m := range g.Members {
		got = append(got, m.Name)
	}
	NewWithT(t).Expect(got).To(Equal(names))
}

// loseServers makes the servers stop reporting, and lists them as gone.
func (f *fixture) loseServers(names ...string) {
	for _, n := range names {
		f.silent[n] = true
		f.input.GoneServers[n] = true
	}
}

func (f *fixture) restartServer(name string) {
	f.input.Reports[name] = Report{Server: name, BootID: name + "-2", At: f.now}
}

func TestControllerRepair(t *testing.T) {
	g1 := desiredGroup("g1", "s1", "s2", "s3")
	tests := []struct {
		name     string
		policy   Policy
		groups   []fleet.Group
		fault    func(f *fixture)
		want     map[string][]string // members of the groups that have to be whole afterwards
		notWhole []string            // groups that must not be whole afterwards
	}{
		{"spare in the domain", Wait, []fleet.Group{g1},
			func(f *fixture) { f.loseServers("s2") }, map[string][]string{"g1": {"s1", "s3", "s4"}}, nil},
		{"restart with the same address", Wait, []fleet.Group{g1},
			func(f *fixture) { f.restartServer("s2") }, map[string][]string{"g1": {"s1", "s2", "s3"}}, nil},
		{"no spare, the group waits", Wait, []fleet.Group{g1},
			func(f *fixture) { f.loseServers("s2", "s4") }, nil, []string{"g1"}},
		{"no spare, other domain", OtherDomain, []fleet.Group{g1},
			func(f *fixture) { f.loseServers("s2", "s4") }, map[string][]string{"g1": {"s5", "s6", "s7"}}, nil},
		{"domain unreachable, other domain", OtherDomain, []fleet.Group{g1},
			func(f *fixture) { f.loseServers("s1", "s2", "s3", "s4") }, map[string][]string{"g1": {"s5", "s6", "s7"}}, nil},
		{"two groups lack a member, one is dissolved", Dissolve, []fleet.Group{desiredGroup("g1", "s1", "s2"), desiredGroup("g2", "s3", "s4")},
			func(f *fixture) { f.loseServers("s2", "s4") }, map[string][]string{"g1": {"s1", "s3"}}, []string{"g2"}},
		{"one group lacks a member, none is dissolved", Dissolve, []fleet.Group{desiredGroup("g1", "s1", "s2"), desiredGroup("g2", "s3", "s4")},
			func(f *fixture) { f.loseServers("s2") }, map[string][]string{"g2": {"s3", "s4"}}, []string{"g1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(serversInTwoDomains(false), tt.groups)
			f.controller.Policy = tt.policy
			f.runRounds(8)
			tt.fault(f)
			f.runRounds(20)
			g := NewWithT(t)
			for name, members := range tt.want {
				g.Expect(f.checkWhole(name)).To(Succeed())
				wantMembers(t, f, name, members...)
			}
			for _, name := range tt.notWhole {
				g.Expect(f.checkWhole(name)).NotTo(Succeed())
			}
			g.Expect(f.refused).To(BeEmpty())
		})
	}
}

func TestWholeRefuses(t *testing.T) {
	tests := []struct {
		name  string
		fault func(r *Report)
	}{
		{"other epoch", func(r *Report) { r.Epoch-- }},
		{"other group", func(r *Report) { r.Group = "g2" }},
		{"other version", func(r *Report) { r.ModelVersion = "0" }},
		{"new boot ID", func(r *Report) { r.BootID = "s2-2" }},
		{"old report", func(r *Report) { r.At = r.At.Add(-DefaultMaxAge - time.Second) }},
		{"loading", func(r *Report) { r.Loading = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(serversInTwoDomains(true), []fleet.Group{desiredGroup("g1", "s1", "s2")})
			f.runRounds(8)
			g := NewWithT(t)
			g.Expect(f.checkWhole("g1")).To(Succeed())
			r := f.input.Reports["s2"]
			tt.fault(&r)
			f.input.Reports["s2"] = r
			g.Expect(f.checkWhole("g1")).To(MatchError(ContainSubstring(`"s2"`)))
		})
	}
}

// A member restarts with the same address between the check and the response, and a
// delayed order puts its new run into the same epoch. Only the boot ID shows that
// the response comes from another run.
func TestRestartBetweenCheckAndResponse(t *testing.T) {
	for disabled, passes := range map[guard]bool{0: false, guardBootID: true} {
		f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
		f.runRounds(8)
		check := Check{disabled: disabled}
		ticket, err := check.Whole(f.state, "g1", f.input.Reports, f.now)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		answer := ResponseIdentity{Server: "s1", BootID: "s1-1", Group: "g1", Epoch: ticket.Epoch}
		g.Expect(check.StillWhole(f.state, ticket, f.input.Reports, answer)).To(Succeed())
		answer.BootID = "s1-2"
		g.Expect(check.StillWhole(f.state, ticket, f.input.Reports, answer) == nil).To(Equal(passes))
		r := f.input.Reports["s1"]
		r.BootID = "s1-2"
		f.input.Reports["s1"] = r
		_, err = check.Whole(f.state, "g1", f.input.Reports, f.now)
		g.Expect(err == nil).To(Equal(passes))
	}
}

func TestQuarantinedMember(t *testing.T) {
	for disabled, passes := range map[guard]bool{0: false, guardQuarantine: true} {
		f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
		f.runRounds(8)
		f.append(placement.Record{ID: "q", Body: placement.SetQuarantine{Server: "s2", Reason: "by an operator"}})
		_, err := Check{disabled: disabled}.Whole(f.state, "g1", f.input.Reports, f.now)
		NewWithT(t).Expect(err == nil).To(Equal(passes))
	}
}

// loseFirstAnswer loses the answer to the first order to the server. applied
// states whether the server applies that order.
func (f *fixture) loseFirstAnswer(server string, applied bool) {
	send := f.issuer.Send
	f.issuer.Send = func(ctx context.Context, o Order) error {
		if o.Server != server {
			return send(ctx, o)
		}
		f.issuer.Send = send
		if applied {
			_ = send(ctx, o)
		}
		return context.DeadlineExceeded
	}
}

func TestLostOrderAnswer(t *testing.T) {
	tests := []struct {
		name    string
		applied bool
		want    []string
	}{
		{"the server applied the order and stays", true, []string{"s1", "s2"}},
		{"the server may apply the order later and is replaced", false, []string{"s1", "s3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
			f.loseFirstAnswer("s2", tt.applied)
			f.runRounds(14)
			g := NewWithT(t)
			g.Expect(f.checkWhole("g1")).To(Succeed())
			wantMembers(t, f, "g1", tt.want...)
			_, quarantined := f.state.Quarantine("s2")
			g.Expect(quarantined).To(Equal(!tt.applied))
			f.restartServer("s2")
			f.runRounds(3)
			_, quarantined = f.state.Quarantine("s2")
			g.Expect(quarantined).To(BeFalse(), "a new run has to end the quarantine")
		})
	}
}

// The claimant of an order pauses before it sends it. No other entry instance may
// take the claim over until the platform lists the claimant as gone.
func TestPausedClaimant(t *testing.T) {
	f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	other := placement.Process{Name: "e2", BootID: "e2-1"}
	f.append(placement.Record{ID: "join", Body: placement.EntryJoin{Process: other}})
	f.runRound()
	g1, _ := f.state.Group("g1")
	f.append(placement.Record{ID: "claim", Presumes: g1.Epoch, Body: placement.OrderClaim{Server: "s2", Group: "g1", Claimant: other}})
	f.loseServers("s1")
	f.runRounds(6)
	g := NewWithT(t)
	g.Expect(f.checkWhole("g1")).NotTo(Succeed())
	_, claimed := f.state.Claim("s2")
	g.Expect(claimed).To(BeTrue())
	f.input.GoneEntries = []placement.Process{other}
	f.runRounds(12)
	g.Expect(f.checkWhole("g1")).To(Succeed())
	wantMembers(t, f, "g1", "s3", "s4")
}

// Claims whose orders won't be sent any more are released, so that no server stays
// excluded from the groups: claims of a group that is no longer desired, and
// abandoned ones.
func TestUnusedClaims(t *testing.T) {
	f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRound()
	f.input.State = f.state
	for _, r := range f.controller.Decide(f.input).Records {
		f.append(r)
	}
	g := NewWithT(t)
	g.Expect(f.state.Claims()).To(HaveLen(2))
	f.input.Desired = nil
	f.runRounds(5)
	g.Expect(f.state.Claims()).To(BeEmpty())
	g.Expect(f.state.Quarantines()).To(BeEmpty())

	f = newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRound()
	f.input.State = f.state
	for _, r := range f.controller.Decide(f.input).Records {
		f.append(r)
	}
	f.issuer.Abandon(f.state)
	for _, o := range f.controller.Decide(f.input).Orders {
		g.Expect(f.issuer.Issue(t.Context(), f.state, o)).To(Succeed(), "Issue must drop an abandoned order")
	}
	for _, r := range f.issuer.PendingReleases(f.state) {
		f.append(r)
	}
	g.Expect(f.state.Claims()).To(BeEmpty())
	g.Expect(f.input.Reports["s1"].Epoch).To(BeZero())
}

// A server restarts after its order was claimed and before it was sent. The claim
// must not block the group's next epoch.
func TestRestartBetweenClaimAndSend(t *testing.T) {
	f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRound()
	f.input.State = f.state
	for _, r := range f.controller.Decide(f.input).Records {
		f.append(r)
	}
	f.restartServer("s2")
	f.runRounds(12)
	NewWithT(t).Expect(f.checkWhole("g1")).To(Succeed())
	wantMembers(t, f, "g1", "s1", "s2")
}

// A group uses the configured members of another group, which can't be formed
// without them. It has to return them and form again from its own.
func TestReclaim(t *testing.T) {
	f := newFixture(serversInTwoDomains(true), []fleet.Group{desiredGroup("g2", "s1", "s2", "s3")})
	f.runRounds(8)
	f.input.Desired = []fleet.Group{desiredGroup("g1", "s1", "s2", "s3"), desiredGroup("g2", "s5", "s6", "s7")}
	f.runRounds(16)
	NewWithT(t).Expect(f.checkWhole("g1")).To(Succeed())
	NewWithT(t).Expect(f.checkWhole("g2")).To(Succeed())
	wantMembers(t, f, "g2", "s5", "s6", "s7")
}

func TestDrainAndDissolve(t *testing.T) {
	f := newFixture(serversInTwoDomains(true), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRounds(8)
	f.input.InFlight = map[string]int{"g1": 1}
	f.input.Desired = nil
	f.runRounds(5)
	g := NewWithT(t)
	g.Expect(f.checkWhole("g1")).To(MatchError(ContainSubstring("Draining")))
	f.input.InFlight = nil
	f.runRounds(2)
	g.Expect(f.state.Groups()).To(BeEmpty())
}

// A member that leaves gracefully must not interrupt a request, so its group drains
// first.
func TestLeavingMember(t *testing.T) {
	f := newFixture(serversInTwoDomains(false), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRounds(8)
	before, _ := f.state.Group("g1")
	f.input.InFlight = map[string]int{"g1": 1}
	f.input.LeavingServers = map[string]bool{"s2": true}
	f.runRounds(5)
	g := NewWithT(t)
	during, _ := f.state.Group("g1")
	g.Expect(during.Epoch).To(Equal(before.Epoch), "the epoch must not change while a request runs")
	g.Expect(f.checkWhole("g1")).NotTo(Succeed())
	f.input.InFlight = nil
	f.runRounds(10)
	g.Expect(f.checkWhole("g1")).To(Succeed())
	wantMembers(t, f, "g1", "s1", "s3")
	g.Expect(f.refused).To(BeEmpty())
}

// A controller that has just started lacks the report of a server. It must not treat
// the server as lost before the timeout has passed since the start.
func TestControllerStartsWithoutReport(t *testing.T) {
	f := newFixture(serversInTwoDomains(true), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRounds(8)
	before, _ := f.state.Group("g1")
	f.input.PollingSince = f.now
	delete(f.input.Reports, "s2")
	f.runRounds(3)
	g := NewWithT(t)
	during, _ := f.state.Group("g1")
	g.Expect(during.Epoch).To(Equal(before.Epoch))
	f.runRounds(10)
	g.Expect(f.checkWhole("g1")).To(Succeed())
	wantMembers(t, f, "g1", "s1", "s3")
}

// A controller that receives reports from few servers or none must not change any
// group, since the fault is likely its own.
func TestControllerWithFewReports(t *testing.T) {
	f := newFixture(serversInTwoDomains(true), []fleet.Group{desiredGroup("g1", "s1", "s2")})
	f.runRounds(8)
	for _, s := range f.input.Servers {
		f.silent[s.Name] = true
	}
	f.runRounds(10)
	g1, _ := f.state.Group("g1")
	NewWithT(t).Expect(g1.Phase).To(Equal(placement.PhaseServing))
	NewWithT(t).Expect(f.checkWhole("g1")).NotTo(Succeed())
	wantMembers(t, f, "g1", "s1", "s2")
}
