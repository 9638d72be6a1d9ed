package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chicorystall/chicorystall/pkg/limit"
)

// Group is the state of a serving group as known to an entry instance.
type Group struct {
	Name       string
	Epoch      int64
	Model      string
	DataCentre string
	Backend    string       // the group's head, which takes its requests
	Complete   bool         // every member has a recent report with the same group and epoch
	Leaving    bool         // the backend server is leaving or draining
	Available  limit.Amount // free capacity, including capacity that can be borrowed from peers
	Capacity   limit.Amount // total capacity; lower than the limit during a cold start
	Report     Report
	Sent       Sent // since the report
	Digest     Digest
}

// Report is the last load report of a backend server.
type Report struct {
	Age            time.Duration // when the view was created
	Requests       int           // running or queued
	PendingTokens  int           // queued for prefill
	TokensPerSec   int           // prefill speed; 0 if unknown
	CachedFraction float64       // fraction of the KV cache in use
}

// Sent counts what this entry instance sent to a backend server since the server's
// last report.
type Sent struct {
	Requests      int
	PendingTokens int // prompt tokens that were not cached
	Ended         int // requests that have ended, whenever they were sent
}

// DataCentre is the state of a data centre as known to an entry instance.
type DataCentre struct {
	Name      string
	Drained   bool          // by an operator
	Reachable bool          // an entry instance there responds
	Ramp      float64       // usable fraction of its free capacity, from 0 to 1; grows after the data centre returns
	FreeSlots int           // further requests that its groups could take at its last report
	Spilled   int           // requests forwarded to it since that report
	Work      time.Duration // mean estimated wait of a new request before its own prefill, at that report
}

// Route allows client accounts to use groups.
type Route struct {
	Accounts []string // "*" means all accounts
	Groups   []string
	Priority int // of requests that use this route
}

// Config is the input of [NewView].
type Config struct {
	DataCentre     string // of this entry instance
	Groups         []Group
	DataCentres    []DataCentre
	Routes         []Route // of the preset in force
	EntryInstances int     // number of entry instances in the own data centre; 0 means 1
	Tuning         Tuning

	disabledRules ruleSet
}

// ruleSet is a bit set of rules. Tests disable single rules to check that they notice
// the violations.
type ruleSet uint

const (
	ruleOpen       ruleSet = 1 << iota // choose only open groups
	ruleCapacity                       // choose only groups with free capacity
	ruleSpillShare                     // use only a share of a peer data centre's capacity
	ruleLoadBound                      // choose by prefix only up to the load bound
)

func (v *View) ruleEnabled(rule ruleSet) bool { return v.disabledRules&rule == 0 }

// Tuning holds the parameters of the choice. Fields that are zero take the defaults.
type Tuning struct {
	LoadBound      float64       // maximum load of a group that is chosen by prefix, as a multiple of the mean load
	SpillShare     float64       // fraction of another data centre's capacity that the own one may use
	MinMatchBlocks int           // minimum length of a cached prefix that determines the choice
	SpillWork      time.Duration // local work above which a data centre with less work is preferred
}

// Defaults of [Tuning].
const (
	DefaultLoadBound      = 1.5
	DefaultSpillShare     = 0.5
	DefaultMinMatchBlocks = 1
	DefaultSpillWork      = 250 * time.Millisecond
)

// View is an immutable snapshot of groups, data centres and routes.
type View struct {
	ownDataCentre     string
	ownDataCentreOpen bool
	groups            []*group
	groupIndex        map[string]int32
	closedDataCentres map[string]bool
	dataCentres       []DataCentre
	candidates        map[routeKey]*candidates
	tuning            Tuning
	entryInstances    int
	disabledRules     ruleSet
}

type routeKey struct {
	account string
	model   string
}

// candidates holds the groups that a client account may use for a model, as indexes
// into View.groups.
type candidates struct {
	local    []int32
	remote   []int32
	priority int
}

type group struct {
	Group
	nameHash uint64        // for rendezvous hashing
	work     time.Duration // estimated wait of a new request before its own prefill
	load     float64       // fraction of the backend server's capacity that is in use
	open     bool
}

// NewView returns a view with the content of c.
func NewView(c Config) *View {
	v := &View{
		ownDataCentre:     c.DataCentre,
		ownDataCentreOpen: true,
		dataCentres:       slices.Clone(c.DataCentres),
		candidates:        make(map[routeKey]*candidates),
		tuning:            c.Tuning.withDefaults(),
		entryInstances:    max(c.EntryInstances, 1),
		disabledRules:     c.disabledRules,
	}
	v.closedDataCentres = v.findClosedDataCentres()
	v.ownDataCentreOpen = !v.closedDataCentres[c.DataCentre] || !v.ruleEnabled(ruleOpen)
	index := make(map[string]int32, len(c.Groups))
	v.groups = make([]*group, 0, len(c.Groups))
	for i, g := range c.Groups {
		index[g.Name] = int32(i)
		v.groups = append(v.groups, v.newGroup(g, v.closedDataCentres[g.DataCentre]))
	}
	for _, r := range c.Routes {
		v.addRoute(r, index)
	}
	for _, c := range v.candidates {
		c.local = sortedUnique(c.local)
		c.remote = sortedUnique(c.remote)
	}
	v.groupIndex = index
	return v
}

func sortedUnique(list []int32) []int32 {
	slices.Sort(list)
	return slices.Compact(list)
}

// WithGroup returns a copy of v in which g replaces the group of the same name, except
// for its model and data centre. If v has no such group, it returns v itself. WithGroup
// is much cheaper than NewView.
func (v *View) WithGroup(g Group) *View {
	i, ok := v.groupIndex[g.Name]
	if !ok {
		return v
	}
	old := v.groups[i]
	g.Model, g.DataCentre = old.Model, old.DataCentre
	changed := *v
	changed.groups = slices.Clone(v.groups)
	changed.groups[i] = v.newGroup(g, v.closedDataCentres[g.DataCentre])
	return &changed
}

func (t Tuning) withDefaults() Tuning {
	if t.LoadBound == 0 {
		t.LoadBound = DefaultLoadBound
	}
	if t.SpillShare == 0 {
		t.SpillShare = DefaultSpillShare
	}
	if t.MinMatchBlocks == 0 {
		t.MinMatchBlocks = DefaultMinMatchBlocks
	}
	if t.SpillWork == 0 {
		t.SpillWork = DefaultSpillWork
	}
	return t
}

func (v *View) findClosedDataCentres() map[string]bool {
	closed := make(map[string]bool)
	for _, dc := range v.dataCentres {
		if dc.Drained {
			closed[dc.Name] = true
		}
	}
	return closed
}

func (v *View) newGroup(g Group, closed bool) *group {
	out := &group{Group: g, nameHash: xxhash.Sum64String(g.Name)}
	out.open = g.Complete && !g.Leaving && !closed || !v.ruleEnabled(ruleOpen)
	out.work = g.pendingWork()
	out.load = g.estimatedLoad()
	return out
}

func (v *View) addRoute(r Route, index map[string]int32) {
	for _, account := range r.Accounts {
		for _, name := range r.Groups {
			i, ok := index[name]
			if !ok {
				continue
			}
			g := v.groups[i]
			k := routeKey{account, g.Model}
			c := v.candidates[k]
			if c == nil {
				c = &candidates{priority: r.Priority}
				v.candidates[k] = c
			}
			list := &c.local
			if g.DataCentre != v.ownDataCentre {
				list = &c.remote
			}
			*list = append(*list, i)
		}
	}
}

// Priority returns the priority of the client account's requests for the model, or
// false if the preset in force has no route for them.
func (v *View) Priority(account, model string) (int, bool) {
	c := v.candidatesFor(account, model)
	if c == nil {
		return 0, false
	}
	return c.priority, true
}

func (v *View) candidatesFor(account, model string) *candidates {
	if c := v.candidates[routeKey{account, model}]; c != nil {
		return c
	}
	return v.candidates[routeKey{"*", model}]
}
