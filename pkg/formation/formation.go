package formation

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/presence"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// Operation is the kind of an order.
type Operation int

const (
	Join  Operation = iota
	Open            // makes the head accept requests
	Close           // makes the head stop accepting requests
	Leave           // takes the worker out of its group
)

// Order is a command for one worker.
type Order struct {
	Worker    string
	Operation Operation
	Group     string
	Epoch     int64
	Model     string   // for Join only
	Members   []string // for Join only; the first is the head
	Cancel    bool     // for Close only: cancels the running requests
	NeedsLoad bool     // the worker has to read the weights from the shared store
	Reason    string
}

// Worker is what the keeper knows about a worker of its data centre.
type Worker struct {
	roster.Server
	Presence    presence.State
	OrdersKnown bool // its order count is known for this run, so orders can be sent to it
	Cold        bool // is in its cold start
	// OrderedEpoch is the highest epoch of the keeper's orders to join, answered or not.
	OrderedEpoch int64
	FirstSeen    time.Time // when this run of the worker was first seen
}

// isPresent reports whether the worker can be ordered and counted on.
func (w *Worker) isPresent() bool { return w.Presence == presence.Present }

// FormingGroup is a group that the keeper has started to form and that is not open yet.
type FormingGroup struct {
	Group   string
	Epoch   int64
	Model   string
	Members []string // the first is the head
	Loading []string // members that have to read weights from the shared store
	// PreviousGroups maps each member to the group that it was in when it was chosen.
	PreviousGroups map[string]string
	// Members whose order to join was accepted, or was not answered and may still be
	// carried out, and members that have reported this group since.
	JoinOrdered, JoinReported map[string]bool
	Since                     time.Time
}

// Staging is a load of a model's weights by a spare worker.
type Staging struct {
	Model string
	Since time.Time
}

// Input is the state that Decide bases a decision on.
type Input struct {
	Now     time.Time
	Engine  *catalog.Engine
	Workers []Worker
	Forming map[string]FormingGroup // by group
	Staging map[string]Staging      // by worker ID
	// Headless holds the groups whose head no longer serves or is given up.
	Headless map[string]bool
	// Departed holds the ranks of the members that were seen to leave a group or to end, by
	// group. Other members that are not among Workers may only be unknown.
	Departed map[string]map[int]bool
	// Epoch is the highest epoch of any order so far, answered or not. An order
	// that is carried out late must have a lower epoch than the orders after it.
	Epoch int64
	// OpenFrom is the lowest epoch of groups that may be opened. Orders with higher epochs
	// that another keeper has sent to members of earlier groups may still be carried out.
	OpenFrom int64
	// TakenOut means that the data centre is taken out of service. No new groups are
	// formed; existing groups stay.
	TakenOut bool
	// Serving is set once clients send requests. Loads take their full time from
	// then on, so Decide starts only those that are needed.
	Serving bool
	// Utilization returns the share of a model's slots that is in use, from 0 to 1. If it is
	// nil, the share is taken as 1.
	Utilization func(model string) float64
	// DomainSizes holds the largest number of workers seen in each domain so far.
	DomainSizes map[string]int
	// LoadBudget is the number of loads that may begin now.
	LoadBudget int
	// MaxConcurrentLoads is the number of loads that may run concurrently in this data centre.
	MaxConcurrentLoads int
	// NewGroupName returns a group name that was never used before.
	NewGroupName func(model string) string
}

// Note describes a decision about a group, for the log.
type Note struct {
	Group  string
	Model  string
	Event  string // formed, not formed, waiting, closed, dissolved, given up
	Reason string
	Detail string
}

// Decision holds the orders to send and the state to pass to the next call of Decide.
type Decision struct {
	Orders  []Order
	Forming map[string]FormingGroup
	Staging map[string]Staging
	Notes   []Note
	Epoch   int64 // the highest epoch of any order so far
	// DomainSizes is to be passed to the next call.
	DomainSizes map[string]int
}

// GroupName returns the name of a group that serves a model. The suffix makes the
// name unique.
func GroupName(model, suffix string) string { return model + "." + suffix }

// sparePrefix starts the suffix of the group of a single spare worker.
const sparePrefix = "spare-"

// IsSpare reports whether a group consists of one spare worker, which keeps the
// model loaded and is never opened.
func IsSpare(group string) bool {
	i := strings.LastIndexByte(group, '.')
	return i >= 0 && strings.HasPrefix(group[i+1:], sparePrefix)
}

// spareGroupName turns an unused group name into the name of a spare worker's group.
func spareGroupName(name string) string {
	i := strings.LastIndexByte(name, '.') + 1
	return name[:i] + sparePrefix + name[i:]
}

// ModelOf returns the model in a group's name, or an empty string if there is none.
func ModelOf(group string) string {
	if i := strings.LastIndexByte(group, '.'); i >= 0 {
		return group[:i]
	}
	return ""
}

const (
	// joinTimeout is the time within which all members of a group have to begin to join.
	joinTimeout = 4 * time.Second
	// newWorkerDelay is the time after a worker appears in a domain during which
	// no group there starts a load. Workers that return together often have their
	// weights already, so the load may not be needed.
	newWorkerDelay = 1500 * time.Millisecond
	// loadReplacementDelay is the time after which a worker that has the weights
	// may replace a member that is still loading.
	loadReplacementDelay = 500 * time.Millisecond
	// stagingTimeoutFactor is the timeout of a staging in multiples of the model's
	// load time.
	stagingTimeoutFactor = 4
)

// decider holds the state of one call of Decide.
type decider struct {
	Input
	byID        map[string]*Worker
	groups      map[string][]*Worker // members of each group, by rank
	free        map[string]*Worker   // workers that can join a group
	reserved    map[string]string    // models of the groups whose successors free workers are kept for
	inForming   map[string]bool      // members of the groups that are forming
	groupCounts map[string]int       // groups that are open or forming, by model
	leaving     map[string]int       // workers that are leaving their group, by domain
	grouped     map[string]int       // workers that groups and their successors need, by domain
	epoch       int64
	decision    Decision
}

// Decide returns the next orders for the workers of a data centre. Repeated calls
// lead to the groups that the engine's models need.
func Decide(in Input) Decision {
	d := &decider{
		Input:       in,
		byID:        map[string]*Worker{},
		groups:      map[string][]*Worker{},
		free:        map[string]*Worker{},
		reserved:    map[string]string{},
		inForming:   map[string]bool{},
		groupCounts: map[string]int{},
		leaving:     map[string]int{},
		grouped:     map[string]int{},
		decision:    Decision{Forming: map[string]FormingGroup{}, Staging: map[string]Staging{}, DomainSizes: map[string]int{}},
	}
	d.epoch = in.Epoch
	d.indexWorkers()
	for _, group := range sortedKeys(d.Forming) {
		d.advanceForming(d.Forming[group])
	}
	for _, group := range sortedKeys(d.groups) {
		if _, forming := d.Forming[group]; !forming {
			d.maintainGroup(group, d.groups[group])
		}
	}
	d.pruneStaging()
	d.countDomains()
	if !in.TakenOut {
		for d.formGroup() {
		}
		for id := range d.reserved {
			d.free[id] = d.byID[id]
		}
		d.prepareSpares()
	}
	d.decision.Epoch = d.epoch
	return d.decision
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// indexWorkers fills the decider's maps from the workers and the forming groups.
func (d *decider) indexWorkers() {
	for i := range d.Workers {
		w := &d.Workers[i]
		d.byID[w.ID] = w
		d.epoch = max(d.epoch, w.Membership.Epoch)
		if IsSpare(w.Membership.Group) {
			if w.isPresent() && !w.Draining && w.OrdersKnown {
				d.free[w.ID] = w
			}
			continue
		}
		if w.Membership.State != roster.Alone {
			d.groups[w.Membership.Group] = append(d.groups[w.Membership.Group], w)
		} else if w.isPresent() && !w.Draining && w.OrdersKnown {
			d.free[w.ID] = w
		}
	}
	for _, f := range d.Forming {
		d.epoch = max(d.epoch, f.Epoch)
		for _, id := range f.Members {
			d.inForming[id] = true
			delete(d.free, id)
		}
	}
	for _, members := range d.groups {
		slices.SortFunc(members, func(a, b *Worker) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) })
	}
}

func (d *decider) addOrder(o Order) { d.decision.Orders = append(d.decision.Orders, o) }

func (d *decider) addNote(n Note) { d.decision.Notes = append(d.decision.Notes, n) }
