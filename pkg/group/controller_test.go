package group

import (
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
		b.input.Gone[n] = true
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
