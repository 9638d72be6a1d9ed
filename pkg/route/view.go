package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chicorystall/chicorystall/pkg/limit"
)

// Group is one serving group as an entry instance sees it.
type Group struct {
	Name       string
	Epoch      int64
	Model      string
	DataCentre string
	Backend    string       // the member that takes requests
	Complete   bool         // every member reports the same group and epoch, freshly
	Leaving    bool         // the backend server is leaving or draining
	Available  limit.Amount // what may be sent now, loans included
	Capacity   limit.Amount // the limit, or the level while it is cold
	Report     Report
	Sent       Sent // by this entry instance since the report
	Digest     Digest
}

// Report is the last load report of a backend server.
type Report struct {
	Age            time.Duration // between the report and the making of the view
	Requests       int           // running and waiting
	PendingTokens  int           // prompt tokens that wait for prefill
	TokensPerSec   int           // prefill speed; 0 is unknown
	CachedFraction float64       // part of the KV cache in use
}

// Sent is what this entry instance sent and saw end since the report.
type Sent struct {
	Requests      int
	PendingTokens int // prompt tokens without what is cached
	Ended         int // requests
}

// DataCentre is a data centre as an entry instance sees it.
type DataCentre struct {
	Name      string
	Drained   bool          // operators took it out
	Reachable bool          // an entry instance there answers
	Ramp      float64       // part of its room that it may be given, 0 to 1, while it returns
	FreeSlots int           // requests that its groups could take at its last report
	Spilled   int           // requests that were forwarded there since that report
	Work      time.Duration // mean estimated work before a new request's own prefill, at that report
}

// Route allows client accounts to use groups.
type Route struct {
	Accounts []string // "*" stands for all
	Groups   []string
	Priority int // priority of requests that come this way
}

// Config is the content of a view.
type Config struct {
	DataCentre     string // own
	Groups         []Group
	DataCentres    []DataCentre
	Routes         []Route // of the preset in force
	EntryInstances int     // entry instances of the own data centre
	Tuning         Tuning

	disabled guard
}

// guard is a set of rules that tests switch off.
type guard uint

const (
	guardOpen  guard = 1 << iota // only whole and open groups
	guardRoom                    // only groups with room
	guardSpill                   // only a part of a neighbour's room
	guardBound                   // a cached prefix only up to the bound of load
)

func (v *View) on(g guard) bool { return v.disabled&g == 0 }

// Tuning holds the constants of the choice. Zero fields take the defaults.
type Tuning struct {
	LoadBound  float64       // load of a group with a cached prefix, in parts of the mean load
	SpillShare float64       // part of a neighbour's room that the own data centre may use
	MinMatch   int           // blocks that make a cached prefix worth following
	SpillWork  time.Duration // estimated work from which a neighbour with less is preferred
}

// Defaults of [Tuning].
const (
	DefaultBound      = 1.5
	DefaultSpillShare = 0.5
	DefaultMinMatch   = 1
	DefaultSpillWork  = 250 * time.Millisecond
)

// View is an immutable picture of groups, data centres and routes.
type View struct {
	own         string
	ownOpen     bool
	groups      []*group
	index       map[string]int32
	closed      map[string]bool // data centres
	dataCentres []DataCentre
	routes      map[routeKey]*candidates
	tuning      Tuning
	senders     int
	disabled    guard
}

type routeKey struct {
	account string
	model   string
}

// candidates are indexes of groups.
type candidates struct {
	own      []int32
	foreign  []int32
	priority int
}

type group struct {
	Group
	seed uint64        // hash of the name
	work time.Duration // estimated work before a new request's own prefill
	load float64       // part of what the backend server bears that is in use
	open bool
}

// NewView makes a view.
func NewView(c Config) *View {
	v := &View{
		own:         c.DataCentre,
		ownOpen:     true,
		dataCentres: slices.Clone(c.DataCentres),
		routes:      make(map[routeKey]*candidates),
		tuning:      c.Tuning.withDefaults(),
		senders:     max(c.EntryInstances, 1),
		disabled:    c.disabled,
	}
	v.closed = v.closedDataCentres()
	v.ownOpen = !v.closed[c.DataCentre] || !v.on(guardOpen)
	index := make(map[string]int32, len(c.Groups))
	v.groups = make([]*group, 0, len(c.Groups))
	for i, g := range c.Groups {
		index[g.Name] = int32(i)
		v.groups = append(v.groups, v.newGroup(g, v.closed[g.DataCentre]))
	}
	for _, r := range c.Routes {
		v.addRoute(r, index)
	}
	for _, c := range v.routes {
		c.own = distinct(c.own)
		c.foreign = distinct(c.foreign)
	}
	v.index = index
	return v
}

func distinct(list []int32) []int32 {
	slices.Sort(list)
	return slices.Compact(list)
}

// WithGroup returns a view in which the group of the same name has new load, room
// and state. Its model and data centre stay. It is much cheaper than NewView.
func (v *View) WithGroup(g Group) *View {
	i, ok := v.index[g.Name]
	if !ok {
		return v
	}
	old := v.groups[i]
	g.Model, g.DataCentre = old.Model, old.DataCentre
	changed := *v
	changed.groups = slices.Clone(v.groups)
	changed.groups[i] = v.newGroup(g, v.closed[g.DataCentre])
	return &changed
}

func (t Tuning) withDefaults() Tuning {
	if t.LoadBound == 0 {
		t.LoadBound = DefaultBound
	}
	if t.SpillShare == 0 {
		t.SpillShare = DefaultSpillShare
	}
	if t.MinMatch == 0 {
		t.MinMatch = DefaultMinMatch
	}
	if t.SpillWork == 0 {
		t.SpillWork = DefaultSpillWork
	}
	return t
}

func (v *View) closedDataCentres() map[string]bool {
	closed := make(map[string]bool)
	for _, dc := range v.dataCentres {
		if dc.Drained {
			closed[dc.Name] = true
		}
	}
	return closed
}

func (v *View) newGroup(g Group, closed bool) *group {
	out := &group{Group: g, seed: xxhash.Sum64String(g.Name)}
	out.open = g.Complete && !g.Leaving && !closed || !v.on(guardOpen)
	out.work = g.pendingWork()
	out.load = g.load()
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
			c := v.routes[k]
			if c == nil {
				c = &candidates{priority: r.Priority}
				v.routes[k] = c
			}
			list := &c.own
			if g.DataCentre != v.own {
				list = &c.foreign
			}
			*list = append(*list, i)
		}
	}
}

// Priority returns the priority that the preset in force gives to requests of
// the client account for the model, and false when it allows none.
func (v *View) Priority(account, model string) (int, bool) {
	c := v.route(account, model)
	if c == nil {
		return 0, false
	}
	return c.priority, true
}

func (v *View) route(account, model string) *candidates {
	if c := v.routes[routeKey{account, model}]; c != nil {
		return c
	}
	return v.routes[routeKey{"*", model}]
}
