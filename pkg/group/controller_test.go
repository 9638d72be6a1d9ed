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
	for _, fences := range []bool{true, false} {
		b := newBench(twoDomains(fences), []fleet.Group{desired("g1", "s1", "s2"), desired("g2", "s5", "s6")})
		b.rounds(8)
		g := NewWithT(t)
		g.Expect(b.whole("g1")).To(Succeed())
		g.Expect(b.whole("g2")).To(Succeed())
		g.Expect(b.refused).To(BeEmpty())
		wantMembers(t, b, "g1", "s1", "s2")
		group, _ := b.state.Group("g1")
		g.Expect(group.Phase).To(Equal(placement.PhaseServing))
		g.Expect(b.round().Records).To(BeEmpty())
	}
}

func wantMembers(t *testing.T, b *bench, group string, names ...string) {
	t.Helper()
	g, _ := b.state.Group(group)
	var have []string
	for _, m := range g.Members {
		have = append(have, m.Name)
	}
	NewWithT(t).Expect(have).To(Equal(names))
}

// loses makes a server silent for good.
func (b *bench) loses(names ...string) {
	for _, n := range names {
		b.silent[n] = true
		b.input.GoneServers[n] = true
	}
}

func (b *bench) restarts(name string) {
	b.input.Reports[name] = Report{Server: name, BootID: name + "-2", At: b.now}
}

func TestControllerRepair(t *testing.T) {
	g1 := desired("g1", "s1", "s2", "s3")
	tests := []struct {
		name   string
		policy Policy
		groups []fleet.Group
		fault  func(b *bench)
		want   map[string][]string // members of the groups that are whole afterwards
		broken []string
	}{
		{"spare in the domain", Wait, []fleet.Group{g1},
			func(b *bench) { b.loses("s2") }, map[string][]string{"g1": {"s1", "s3", "s4"}}, nil},
		{"restart with the same address", Wait, []fleet.Group{g1},
			func(b *bench) { b.restarts("s2") }, map[string][]string{"g1": {"s1", "s2", "s3"}}, nil},
		{"no spare, wait", Wait, []fleet.Group{g1},
			func(b *bench) { b.loses("s2", "s4") }, nil, []string{"g1"}},
		{"no spare, other domain", OtherDomain, []fleet.Group{g1},
			func(b *bench) { b.loses("s2", "s4") }, map[string][]string{"g1": {"s5", "s6", "s7"}}, nil},
		{"domain dark, other domain", OtherDomain, []fleet.Group{g1},
			func(b *bench) { b.loses("s1", "s2", "s3", "s4") }, map[string][]string{"g1": {"s5", "s6", "s7"}}, nil},
		{"two broken, dissolve one", Dissolve, []fleet.Group{desired("g1", "s1", "s2"), desired("g2", "s3", "s4")},
			func(b *bench) { b.loses("s2", "s4") }, map[string][]string{"g1": {"s1", "s3"}}, []string{"g2"}},
		{"one broken, nothing to gain", Dissolve, []fleet.Group{desired("g1", "s1", "s2"), desired("g2", "s3", "s4")},
			func(b *bench) { b.loses("s2") }, map[string][]string{"g2": {"s3", "s4"}}, []string{"g1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(twoDomains(false), tt.groups)
			b.control.Policy = tt.policy
			b.rounds(8)
			tt.fault(b)
			b.rounds(20)
			g := NewWithT(t)
			for name, members := range tt.want {
				g.Expect(b.whole(name)).To(Succeed())
				wantMembers(t, b, name, members...)
			}
			for _, name := range tt.broken {
				g.Expect(b.whole(name)).NotTo(Succeed())
			}
			g.Expect(b.refused).To(BeEmpty())
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
			b := newBench(twoDomains(true), []fleet.Group{desired("g1", "s1", "s2")})
			b.rounds(8)
			g := NewWithT(t)
			g.Expect(b.whole("g1")).To(Succeed())
			r := b.input.Reports["s2"]
			tt.fault(&r)
			b.input.Reports["s2"] = r
			g.Expect(b.whole("g1")).To(MatchError(ContainSubstring(`"s2"`)))
		})
	}
}

// A member restarts with the same address between the check and the response,
// and a late order has already put its new run into the same epoch.
func TestRestartBetweenCheckAndResponse(t *testing.T) {
	for disabled, passes := range map[guard]bool{0: false, guardBoot: true} {
		b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
		b.rounds(8)
		check := Check{disabled: disabled}
		ticket, err := check.Whole(b.state, "g1", b.input.Reports, b.now)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		answer := ResponseIdentity{Server: "s1", BootID: "s1-1", Group: "g1", Epoch: ticket.Epoch}
		g.Expect(check.StillWhole(b.state, ticket, b.input.Reports, answer)).To(Succeed())
		answer.BootID = "s1-2"
		g.Expect(check.StillWhole(b.state, ticket, b.input.Reports, answer) == nil).To(Equal(passes))
		r := b.input.Reports["s1"]
		r.BootID = "s1-2"
		b.input.Reports["s1"] = r
		_, err = check.Whole(b.state, "g1", b.input.Reports, b.now)
		g.Expect(err == nil).To(Equal(passes))
	}
}

func TestQuarantinedMember(t *testing.T) {
	for disabled, passes := range map[guard]bool{0: false, guardQuarantine: true} {
		b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
		b.rounds(8)
		b.append(placement.Record{ID: "q", Body: placement.SetQuarantine{Server: "s2", Reason: "by an operator"}})
		_, err := Check{disabled: disabled}.Whole(b.state, "g1", b.input.Reports, b.now)
		NewWithT(t).Expect(err == nil).To(Equal(passes))
	}
}

// lostOnce loses the answer of the first order to the server.
func (b *bench) lostOnce(server string, obeyed bool) {
	send := b.issuer.Send
	b.issuer.Send = func(ctx context.Context, o Order) error {
		if o.Server != server {
			return send(ctx, o)
		}
		b.issuer.Send = send
		if obeyed {
			_ = send(ctx, o)
		}
		return context.DeadlineExceeded
	}
}

func TestLostOrderAnswer(t *testing.T) {
	tests := []struct {
		name   string
		obeyed bool
		want   []string
	}{
		{"the server obeyed and goes on", true, []string{"s1", "s2"}},
		{"the server may obey later and is replaced", false, []string{"s1", "s3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
			b.lostOnce("s2", tt.obeyed)
			b.rounds(14)
			g := NewWithT(t)
			g.Expect(b.whole("g1")).To(Succeed())
			wantMembers(t, b, "g1", tt.want...)
			_, apart := b.state.Quarantine("s2")
			g.Expect(apart).To(Equal(!tt.obeyed))
			b.restarts("s2")
			b.rounds(3)
			_, apart = b.state.Quarantine("s2")
			g.Expect(apart).To(BeFalse(), "a new run ends the quarantine")
		})
	}
}

// The holder of a claim pauses before it sends. Nobody else takes its place until
// the platform lists it as gone.
func TestPausedClaimant(t *testing.T) {
	b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
	other := placement.Process{Name: "e2", BootID: "e2-1"}
	b.append(placement.Record{ID: "join", Body: placement.EntryJoin{Process: other}})
	b.round()
	g1, _ := b.state.Group("g1")
	b.append(placement.Record{ID: "claim", Presumes: g1.Epoch, Body: placement.OrderClaim{Server: "s2", Group: "g1", Claimant: other}})
	b.loses("s1")
	b.rounds(6)
	g := NewWithT(t)
	g.Expect(b.whole("g1")).NotTo(Succeed())
	_, held := b.state.Claim("s2")
	g.Expect(held).To(BeTrue())
	b.input.GoneEntries = []placement.Process{other}
	b.rounds(12)
	g.Expect(b.whole("g1")).To(Succeed())
	wantMembers(t, b, "g1", "s3", "s4")
}

// Claims that nobody will use any more are given up, so that no server stays
// apart.
func TestUnusedClaims(t *testing.T) {
	b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
	b.round()
	b.input.State = b.state
	for _, r := range b.control.Decide(b.input).Records {
		b.append(r)
	}
	g := NewWithT(t)
	g.Expect(b.state.Claims()).To(HaveLen(2))
	b.input.Desired = nil
	b.rounds(5)
	g.Expect(b.state.Claims()).To(BeEmpty())
	g.Expect(b.state.Quarantines()).To(BeEmpty())

	b = newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
	b.round()
	b.input.State = b.state
	for _, r := range b.control.Decide(b.input).Records {
		b.append(r)
	}
	b.issuer.Abandon(b.state)
	for _, o := range b.control.Decide(b.input).Orders {
		g.Expect(b.issuer.Issue(t.Context(), b.state, o)).To(Succeed(), "an abandoned order is dropped")
	}
	for _, r := range b.issuer.PendingReleases(b.state) {
		b.append(r)
	}
	g.Expect(b.state.Claims()).To(BeEmpty())
	g.Expect(b.input.Reports["s1"].Epoch).To(BeZero())
}

// A server restarts between the claim of its order and the send.
func TestRestartBetweenClaimAndSend(t *testing.T) {
	b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
	b.round()
	b.input.State = b.state
	for _, r := range b.control.Decide(b.input).Records {
		b.append(r)
	}
	b.restarts("s2")
	b.rounds(12)
	NewWithT(t).Expect(b.whole("g1")).To(Succeed())
	wantMembers(t, b, "g1", "s1", "s2")
}

// A group that moved away from its configured members makes room again for the
// group that they hold up.
func TestReclaim(t *testing.T) {
	b := newBench(twoDomains(true), []fleet.Group{desired("g2", "s1", "s2", "s3")})
	b.rounds(8)
	b.input.Desired = []fleet.Group{desired("g1", "s1", "s2", "s3"), desired("g2", "s5", "s6", "s7")}
	b.rounds(16)
	NewWithT(t).Expect(b.whole("g1")).To(Succeed())
	NewWithT(t).Expect(b.whole("g2")).To(Succeed())
	wantMembers(t, b, "g2", "s5", "s6", "s7")
}

func TestDrainAndDissolve(t *testing.T) {
	b := newBench(twoDomains(true), []fleet.Group{desired("g1", "s1", "s2")})
	b.rounds(8)
	b.input.InFlight = map[string]int{"g1": 1}
	b.input.Desired = nil
	b.rounds(5)
	g := NewWithT(t)
	g.Expect(b.whole("g1")).To(MatchError(ContainSubstring("Draining")))
	b.input.InFlight = nil
	b.rounds(2)
	g.Expect(b.state.Groups()).To(BeEmpty())
}

// A member that leaves in order cuts off no request: its group drains first.
func TestLeavingMember(t *testing.T) {
	b := newBench(twoDomains(false), []fleet.Group{desired("g1", "s1", "s2")})
	b.rounds(8)
	before, _ := b.state.Group("g1")
	b.input.InFlight = map[string]int{"g1": 1}
	b.input.LeavingServers = map[string]bool{"s2": true}
	b.rounds(5)
	g := NewWithT(t)
	during, _ := b.state.Group("g1")
	g.Expect(during.Epoch).To(Equal(before.Epoch), "the running request keeps its epoch")
	g.Expect(b.whole("g1")).NotTo(Succeed())
	b.input.InFlight = nil
	b.rounds(10)
	g.Expect(b.whole("g1")).To(Succeed())
	wantMembers(t, b, "g1", "s1", "s3")
	g.Expect(b.refused).To(BeEmpty())
}

// A new controller has not heard every server yet, and takes none for lost.
func TestControllerStarts(t *testing.T) {
	b := newBench(twoDomains(true), []fleet.Group{desired("g1", "s1", "s2")})
	b.rounds(8)
	before, _ := b.state.Group("g1")
	b.input.PollingSince = b.now
	delete(b.input.Reports, "s2")
	b.rounds(3)
	g := NewWithT(t)
	during, _ := b.state.Group("g1")
	g.Expect(during.Epoch).To(Equal(before.Epoch))
	b.rounds(10)
	g.Expect(b.whole("g1")).To(Succeed())
	wantMembers(t, b, "g1", "s1", "s3")
}

// A controller that hears almost nobody changes no group.
func TestBlindController(t *testing.T) {
	b := newBench(twoDomains(true), []fleet.Group{desired("g1", "s1", "s2")})
	b.rounds(8)
	for _, s := range b.input.Servers {
		b.silent[s.Name] = true
	}
	b.rounds(10)
	g1, _ := b.state.Group("g1")
	NewWithT(t).Expect(g1.Phase).To(Equal(placement.PhaseServing))
	NewWithT(t).Expect(b.whole("g1")).NotTo(Succeed())
	wantMembers(t, b, "g1", "s1", "s2")
}
