package route

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/pkg/limit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
		if !set[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// newOpenGroup returns a complete group with free capacity.
func newOpenGroup(name, dc string) Group {
	return Group{
		Name:       name,
		Model:      "m",
		DataCentre: dc,
		Backend:    name,
		Complete:   true,
		Available:  limit.Amount{Requests: 8, Tokens: 1 << 16},
		Capacity:   limit.Amount{Requests: 8, Tokens: 1 << 16},
	}
}

// addPendingWork adds at least the given work to a1 and a2, and more to a1 than to a2.
func addPendingWork(c *Config, work time.Duration) {
	for i := range 2 {
		c.Groups[i].Report.TokensPerSec = 1000
		c.Groups[i].Report.PendingTokens = int(work/time.Millisecond) + 100 - 50*i
	}
}

func digestOf(blocks ...uint64) Digest {
	var c Cache
	c.MarkCached("b", blocks)
	return c.Digest()
}

// testConfig returns a configuration with groups a1 and a2 in the own data centre and b1
// in another one, after applying change.
func testConfig(change func(*Config)) Config {
	c := Config{
		DataCentre: "a",
		Groups:     []Group{newOpenGroup("a1", "a"), newOpenGroup("a2", "a"), newOpenGroup("b1", "b")},
		DataCentres: []DataCentre{
			{Name: "a", Reachable: true, Ramp: 1},
			{Name: "b", Reachable: true, Ramp: 1, FreeSlots: 8},
		},
		Routes: []Route{{Accounts: []string{"one"}, Groups: []string{"a1", "a2", "b1"}}},
	}
	if change != nil {
		change(&c)
	}
	return c
}

func TestChoose(t *testing.T) {
	request := Request{Account: "one", Model: "m", PromptTokens: 100, Blocks: []uint64{1, 2}}
	tests := []struct {
		name    string
		change  func(*Config)
		request func(*Request)
		group   string
		reason  Reason
	}{
		{name: "cached prefix", change: func(c *Config) { c.Groups[1].Digest = digestOf(1) }, group: "a2", reason: ReasonPrefix},
		{
			name: "longer cached prefix",
			change: func(c *Config) {
				c.Groups[0].Digest = digestOf(1)
				c.Groups[1].Digest = digestOf(2)
			},
			group: "a2", reason: ReasonPrefix,
		},
		{
			name: "cached prefix above the load bound",
			change: func(c *Config) {
				c.Groups[1].Digest = digestOf(1)
				c.Groups[1].Report.Requests = 7
			},
			group: "a1", reason: ReasonLeastWork,
		},
		{
			name:    "less work",
			change:  func(c *Config) { c.Groups[0].Report.PendingTokens = 9000 },
			request: func(r *Request) { r.Blocks = nil },
			group:   "a2", reason: ReasonLeastWork,
		},
		{
			name:    "requests sent since the report",
			change:  func(c *Config) { c.Groups[1].Sent.PendingTokens = 9000 },
			request: func(r *Request) { r.Blocks = nil },
			group:   "a1", reason: ReasonLeastWork,
		},
		{name: "incomplete group", change: func(c *Config) { c.Groups[0].Complete = false }, group: "a2", reason: ReasonHome},
		{name: "avoid the previous backend server", request: func(r *Request) { r.AvoidBackend = "a1" }, group: "a2", reason: ReasonHome},
		{name: "own data centre drained", change: func(c *Config) { c.DataCentres[0].Drained = true }, group: "b1", reason: ReasonSpill},
		{
			name: "own data centre full",
			change: func(c *Config) {
				c.Groups[0].Available = limit.Amount{}
				c.Groups[1].Available = limit.Amount{}
			},
			group: "b1", reason: ReasonSpill,
		},
		{
			name:   "own data centre slow",
			change: func(c *Config) { addPendingWork(c, 10*time.Second) },
			group:  "b1", reason: ReasonSpill,
		},
		{
			name: "own data centre slow, the other one slower",
			change: func(c *Config) {
				addPendingWork(c, 10*time.Second)
				c.DataCentres[1].Work = time.Minute
			},
			request: func(r *Request) { r.Blocks = nil },
			group:   "a2", reason: ReasonLeastWork,
		},
		{
			name:    "own data centre slow, forwarded request",
			change:  func(c *Config) { addPendingWork(c, 10*time.Second) },
			request: func(r *Request) { r.Blocks, r.Forwarded = nil, true },
			group:   "a2", reason: ReasonLeastWork,
		},
		{
			name:    "forwarded request is not spilled",
			change:  func(c *Config) { c.DataCentres[0].Drained = true },
			request: func(r *Request) { r.Forwarded = true },
			reason:  ReasonClosed,
		},
		{
			name: "both drained",
			change: func(c *Config) {
				c.DataCentres[0].Drained = true
				c.DataCentres[1].Drained = true
			},
			reason: ReasonClosed,
		},
		{
			name: "other data centre returns with a ramp of 0",
			change: func(c *Config) {
				c.DataCentres[0].Drained = true
				c.DataCentres[1].Ramp = 0
			},
			reason: ReasonFull,
		},
		{name: "account without a route", request: func(r *Request) { r.Account = "two" }, reason: ReasonNotAllowed},
		{name: "too large", request: func(r *Request) { r.PromptTokens = 1 << 20 }, reason: ReasonTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := request
			if tt.request != nil {
				tt.request(&r)
			}
			d, refusal := NewView(testConfig(tt.change)).Choose(&r)
			checkDecision(t, d, refusal, tt.group, tt.reason)
		})
	}
}

func checkDecision(t *testing.T, d Decision, refusal *Refusal, group string, reason Reason) {
	t.Helper()
	g := NewWithT(t)
	if group == "" {
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(refusal.Reason).To(Equal(reason))
		return
	}
	g.Expect(refusal).To(BeNil())
	g.Expect(d.Group).To(Equal(group))
	g.Expect(d.Reason).To(Equal(reason))
}

func TestWithGroup(t *testing.T) {
	g := NewWithT(t)
	before := NewView(testConfig(func(c *Config) { c.Groups[1].Complete = false }))
	full := newOpenGroup("a1", "")
	full.Available = limit.Amount{}
	after := before.WithGroup(full)
	r := Request{Account: "one", Model: "m", PromptTokens: 100}
	d, refusal := before.Choose(&r)
	checkDecision(t, d, refusal, "a1", ReasonOnly)
	d, refusal = after.Choose(&r)
	checkDecision(t, d, refusal, "b1", ReasonSpill)
	g.Expect(before.WithGroup(Group{Name: "unknown"})).To(BeIdenticalTo(before))
}

// drawConfig draws a configuration in which any group can be closed or full, and any
// data centre drained or unreachable.
func drawConfig(t *rapid.T, disabled ruleSet) Config {
	c := Config{DataCentre: "dc0", EntryInstances: rapid.IntRange(1, 4).Draw(t, "senders"), disabledRules: disabled}
	for i := range 3 {
		c.DataCentres = append(c.DataCentres, DataCentre{
			Name:      fmt.Sprint("dc", i),
			Drained:   rapid.IntRange(0, 3).Draw(t, "drained") == 0,
			Reachable: rapid.IntRange(0, 3).Draw(t, "reachable") > 0,
			Ramp:      rapid.Float64Range(0, 1).Draw(t, "ramp"),
			FreeSlots: rapid.IntRange(0, 20).Draw(t, "free slots"),
		})
	}
	var names []string
	for i := range rapid.IntRange(0, 8).Draw(t, "groups") {
		g := newOpenGroup(fmt.Sprint("g", i), fmt.Sprint("dc", i%3))
		g.Complete = rapid.IntRange(0, 3).Draw(t, "whole") > 0
		g.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		g.Available.Requests = rapid.IntRange(0, 2).Draw(t, "free")
		g.Report.Requests = rapid.IntRange(0, 8).Draw(t, "requests")
		if rapid.Bool().Draw(t, "cached") {
			g.Digest = digestOf(1)
		}
		c.Groups = append(c.Groups, g)
		names = append(names, g.Name)
	}
	c.Routes = []Route{{Accounts: []string{"*"}, Groups: names}}
	return c
}

// decideFromAllInstances lets each entry instance make up to ten decisions, all on the
// same reports, and returns the first violation of a rule.
func decideFromAllInstances(t *rapid.T, disabled ruleSet) string {
	c := drawConfig(t, disabled)
	spilled := make(map[string]int)
	for range c.EntryInstances {
		instanceConfig := c
		instanceConfig.DataCentres = append([]DataCentre(nil), c.DataCentres...)
		for range 10 {
			r := Request{Account: "x", Model: "m", Blocks: []uint64{1}, Random: rapid.Uint64().Draw(t, "random")}
			d, refusal := NewView(instanceConfig).Choose(&r)
			if refusal != nil {
				break
			}
			if v := decisionViolation(c, d); v != "" {
				return v
			}
			if d.Reason == ReasonSpill {
				spilled[d.DataCentre]++
				for i := range instanceConfig.DataCentres {
					if instanceConfig.DataCentres[i].Name == d.DataCentre {
						instanceConfig.DataCentres[i].Spilled++
					}
				}
			}
		}
	}
	for _, dc := range c.DataCentres {
		allowed := float64(dc.FreeSlots) * dc.Ramp * DefaultSpillShare
		if dc.FreeSlots >= 1 && dc.Ramp > 0 {
			allowed = max(allowed, float64(c.EntryInstances)) // each instance may always forward one
		}
		if float64(spilled[dc.Name]) > allowed {
			return fmt.Sprintf("too many requests, %d, were forwarded to %+v", spilled[dc.Name], dc)
		}
	}
	return ""
}

// decisionViolation returns the rule that a decision violates, or "".
func decisionViolation(c Config, d Decision) string {
	var total, eligible, load int
	for _, g := range c.Groups {
		if g.DataCentre == d.DataCentre && g.Complete && !g.Leaving && g.Available.Requests > 0 {
			total += g.Report.Requests
			eligible++
		}
	}
	for _, g := range c.Groups {
		if g.Name != d.Group {
			continue
		}
		load = g.Report.Requests
		if !g.Complete || g.Leaving {
			return "a request was routed to a group that is not open"
		}
		if g.DataCentre == c.DataCentre && g.Available.Requests == 0 {
			return "a request was routed to a group without capacity"
		}
	}
	for _, dc := range c.DataCentres {
		if dc.Name == d.DataCentre && dc.Drained {
			return "a request was routed to a drained data centre"
		}
	}
	byPrefix := d.Reason == ReasonPrefix || d.Reason == ReasonHome
	if byPrefix && float64(load) > DefaultLoadBound*float64(total)/float64(eligible)+1 {
		return "a group above the load bound was chosen by prefix"
	}
	return ""
}

func TestRandomDecisionsFollowRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if v := decideFromAllInstances(t, 0); v != "" {
			t.Fatal(v)
		}
	})
}

// TestDisabledRulesAreDetected checks that decisionViolation and
// decideFromAllInstances would notice if a rule were missing.
func TestDisabledRulesAreDetected(t *testing.T) {
	for name, disabled := range map[string]ruleSet{
		"open": ruleOpen, "capacity": ruleCapacity, "spill share": ruleSpillShare, "load bound": ruleLoadBound,
	} {
		t.Run(name, func(t *testing.T) {
			found := ""
			violations := rapid.Custom(func(t *rapid.T) string { return decideFromAllInstances(t, disabled) })
			for seed := 1; seed <= 300 && found == ""; seed++ {
				found = violations.Example(seed)
			}
			NewWithT(t).Expect(found).NotTo(BeEmpty())
		})
	}
}

func ExampleView_Choose() {
	view := NewView(testConfig(nil))
	d, _ := view.Choose(&Request{Account: "one", Model: "m", PromptTokens: 400})
	fmt.Println(d.DataCentre, d.Reason, d.Work)
	_, refusal := view.Choose(&Request{Account: "two", Model: "m"})
	fmt.Println(refusal)
	// Output:
	// a LeastWork 50ms
	// no group takes model "m" for client account "two": NotAllowed
}
