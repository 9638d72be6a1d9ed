package formation

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Operation is what an order asks of a worker.
type Operation int

// The operations.
const (
	Join  Operation = iota
	Open            // the head starts to take requests
	Close           // the head takes no more requests
	Leave           // the worker is in no group
)

// Order is an order to one worker.
type Order struct {
	Worker    string
	Operation Operation
	Group     string
	Epoch     int64
	Model     string   // of Join
	Members   []string // of Join; the first is the head
	Cancel    bool     // of Close: breaks off what runs
	NeedsLoad bool     // reads weights from the shared store
	Reason    string
}

// Worker is a worker of the data centre as far as it is known.
type Worker struct {
	roster.Server
	Lost        bool // doesn't answer and is overdue
	OrdersKnown bool // has reported in this life, so that orders can name its count
	Cold        bool
	FirstSeen   time.Time // when it was first seen in this life
}

// FormingGroup is a group that was decided on and is not open yet.
type FormingGroup struct {
	Group   string
	Epoch   int64
	Model   string
	Members []string // the first is the head
	Loading []string // members that read weights from the shared store
	// PreviousGroups are the groups that the members were in when they were chosen.
	PreviousGroups map[string]string
	// JoinOrdered are the members whose order to join was accepted, or had no answer
	// and may be carried out yet. Seen are those that reported the group since.
	JoinOrdered, JoinReported map[string]bool
	Since                     time.Time
}

// Staging is a model on its way to a spare worker.
type Staging struct {
	Model string
	Since time.Time
}

// Input is what a decision is made on.
type Input struct {
	Now     time.Time
	Engine  *catalog.Engine
	Workers []Worker
	Forming map[string]FormingGroup // by group
	Staging map[string]Staging      // by worker
	// Headless are the groups whose head serves no more, or is given up.
	Headless map[string]bool
	// Epoch is the highest epoch that any order has named, also one that was not
	// answered: carried out late, it must be lower than what came after it.
	Epoch int64
	// Closed data centres form no groups; those that are there stay.
	Closed bool
	// Serving is set once clients send requests; loads take their full time then.
	Serving bool
	// Utilization returns the part of a model's places that is taken, 0 to 1; nil counts as 1.
	Utilization func(model string) float64
	// LoadBudget is how many loads may begin now.
	LoadBudget int
	// MaxConcurrentLoads is how many loads may run side by side in this data centre.
	MaxConcurrentLoads int
	// NewGroupName returns a name that no group has had.
	NewGroupName func(model string) string
}

// Note says what was decided about a group, and why.
type Note struct {
	Group  string
	Model  string
	Event  string // formed, opened, closed, dissolved, given up
	Reason string
	Detail string
}

// Decision is what to order, and what to remember for the next decision.
type Decision struct {
	Orders  []Order
	Forming map[string]FormingGroup
	Staging map[string]Staging
	Notes   []Note
	Epoch   int64 // the highest epoch that an order has named
}

// GroupName returns a group's name for a model; suffix makes it the only one.
func GroupName(model, suffix string) string { return model + "." + suffix }

// spareMark begins the suffix of a spare's own group.
const spareMark = "spare-"

// IsSpare reports whether a group is that of one spare worker, which holds the
// model ready and never opens.
func IsSpare(group string) bool {
	i := strings.LastIndexByte(group, '.')
	return i >= 0 && strings.HasPrefix(group[i+1:], spareMark)
}

// spareName makes a spare's group of a name that no group has had.
func spareName(name string) string {
	i := strings.LastIndexByte(name, '.') + 1
	return name[:i] + spareMark + name[i:]
}

// ModelOf returns the model that a group's name was made for.
func ModelOf(group string) string {
	if i := strings.LastIndexByte(group, '.'); i >= 0 {
		return group[:i]
	}
	return ""
}

const (
	// joinPatience is how long a group is given until all members have begun to join.
	joinPatience = 4 * time.Second
	// quietTime is how long no worker has come to a domain before a group there
	// is worth a load: workers that return together bring their weights with them.
	quietTime = 1500 * time.Millisecond
	// swapAfter is how long a group has waited for a load before a worker with
	// the weights takes the place of the one that loads.
	swapAfter = 500 * time.Millisecond
	// stagePatience is how many times its load time a staging may take.
	stagePatience = 4
)

type decider struct {
	Input
	byID     map[string]*Worker
	groups   map[string][]*Worker // members of each group, by rank
	free     map[string]*Worker
	reserved map[string]*Worker // free, but kept for a group
	taken    map[string]bool    // workers of groups that are forming
	counts   map[string]int     // groups that are open or forming, by model
	emptying map[string]int     // workers that leave their group, by domain
	epoch    int64
	d        Decision
}

// Decide returns the orders that bring the data centre's groups nearer to what
// its engine is asked for.
func Decide(in Input) Decision {
	d := &decider{
		Input:    in,
		byID:     map[string]*Worker{},
		groups:   map[string][]*Worker{},
		free:     map[string]*Worker{},
		reserved: map[string]*Worker{},
		taken:    map[string]bool{},
		counts:   map[string]int{},
		emptying: map[string]int{},
		d:        Decision{Forming: map[string]FormingGroup{}, Staging: map[string]Staging{}},
	}
	d.epoch = in.Epoch
	d.observe()
	for _, group := range sortedKeys(d.Forming) {
		d.settleForming(d.Forming[group])
	}
	for _, group := range sortedKeys(d.groups) {
		if _, forming := d.Forming[group]; !forming {
			d.settleGroup(group, d.groups[group])
		}
	}
	d.settleStaging()
	if !in.Closed {
		for d.form() {
		}
		for id, w := range d.reserved {
			d.free[id] = w
		}
		d.prepare()
	}
	d.d.Epoch = d.epoch
	return d.d
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (d *decider) observe() {
	for i := range d.Workers {
		w := &d.Workers[i]
		d.byID[w.ID] = w
		d.epoch = max(d.epoch, w.Membership.Epoch)
		if IsSpare(w.Membership.Group) {
			if !w.Lost && !w.Draining && w.OrdersKnown {
				d.free[w.ID] = w
			}
			continue
		}
		if w.Membership.State != roster.Alone {
			d.groups[w.Membership.Group] = append(d.groups[w.Membership.Group], w)
		} else if !w.Lost && !w.Draining && w.OrdersKnown {
			d.free[w.ID] = w
		}
	}
	for _, f := range d.Forming {
		d.epoch = max(d.epoch, f.Epoch)
		for _, id := range f.Members {
			d.taken[id] = true
			delete(d.free, id)
		}
	}
	for _, members := range d.groups {
		slices.SortFunc(members, func(a, b *Worker) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) })
	}
}

func (d *decider) order(o Order) { d.d.Orders = append(d.d.Orders, o) }

func (d *decider) note(n Note) { d.d.Notes = append(d.d.Notes, n) }
