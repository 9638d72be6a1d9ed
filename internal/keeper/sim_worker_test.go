package keeper

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	simForm      = 300 * time.Millisecond // from the order to open until a head serves
	simStall     = 6 * time.Second        // a head that stands still is broken after it
	simHot       = 200 * time.Millisecond // a join of the model that the worker's last group had
	simHeartbeat = time.Second            // between two writes of an entry
	simLapse     = 3 * simHeartbeat       // of silence, after which an entry is removed
)

// simWorker is a worker as it is, whatever the keepers know of it.
type simWorker struct {
	roster.Server
	moments []moment // its states so far, for reports that lag
	dead    bool
	exit    time.Time // when it ends, once it drains

	members  []string  // of its group
	until    time.Time // when it has joined, serves or has closed
	opening  bool
	model    string // of its last group
	epoch    int64  // the highest that this life has seen
	standing time.Time

	unreachable bool         // from all instances
	unheard     map[int]bool // instances that it is cut off from
	storeless   bool         // its entry isn't written
	severed     bool         // from its group's head
	silent      bool         // its reports and orders have no answer

	changed   bool // since its entry was written
	heartbeat time.Time
}

// moment is a state of a worker and when it came into it.
type moment struct {
	at    time.Time
	state roster.Server
}

func groupOf(m roster.Membership) group { return group{m.Group, m.Epoch} }

// group is a name with an epoch.
type group struct {
	name  string
	epoch int64
}

// note records that the worker's state has changed.
func (w *simWorker) note(now time.Time) {
	state := w.Server
	state.StagedModels = slices.Clone(state.StagedModels)
	w.moments = append(w.moments, moment{now, state})
	w.changed = true
}

// at returns the worker's state at a time.
func (w *simWorker) at(t time.Time) roster.Server {
	for i := len(w.moments) - 1; i > 0; i-- {
		if !w.moments[i].at.After(t) {
			return w.moments[i].state
		}
	}
	return w.moments[0].state
}

// start begins a life. What is staged stays on the host.
func (w *simWorker) start(now time.Time) {
	w.Server = roster.Server{ID: w.ID, Service: simService, DataCentre: "a", Domain: w.Domain, StagedModels: w.StagedModels, StartUnixMilli: now.UnixMilli(), EntrySeq: w.EntrySeq + 1, Pace: 1}
	w.moments, w.dead, w.exit = nil, false, time.Time{}
	w.members, w.opening, w.model, w.epoch, w.standing = nil, false, "", 0, time.Time{}
	w.note(now)
}

// accepts reports whether an order fits the worker's state but for its count.
func (w *simWorker) accepts(o formation.Order) Outcome {
	m := w.Membership
	here := m.State != roster.Alone && groupOf(m) == group{o.Group, o.Epoch}
	switch {
	case o.Operation == formation.Join && here:
		if slices.Equal(w.members, o.Members) {
			return Done
		}
		return Rejected
	case o.Operation == formation.Join && o.Epoch < w.epoch, o.Operation != formation.Join && !here:
		return Rejected
	case o.Operation == formation.Open && m.Rank == 0 && (m.State == roster.Open || w.opening):
		return Done
	case o.Operation == formation.Open && (m.Rank != 0 || m.State != roster.Ready),
		o.Operation == formation.Close && (m.Rank != 0 || m.State != roster.Open):
		return Rejected
	}
	return Begun
}

// carryOut does what an accepted order asks.
func (f *fleet) carryOut(w *simWorker, o formation.Order, now time.Time) Outcome {
	m := &w.Membership
	w.OrderCount++
	if o.Operation == formation.Close || o.Operation == formation.Leave {
		f.judgeEnd(w, o)
	}
	outcome := Begun
	switch o.Operation {
	case formation.Join:
		f.judgeJoin(w, o)
		w.join(o, now.Add(f.joinTime(w, o.Model, now)))
	case formation.Open:
		w.opening, w.until = true, now.Add(simForm)
	case formation.Close:
		m.State, w.until = roster.Closing, now
		if !o.Cancel {
			w.until = now.Add(f.chance.time(0, 3*time.Second))
		}
	case formation.Leave:
		*m, w.members, w.opening, outcome = roster.Membership{}, nil, false, Done
	}
	w.note(now)
	return outcome
}

func (w *simWorker) join(o formation.Order, until time.Time) {
	w.Membership = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.ID), State: roster.Joining}
	w.members, w.until, w.opening, w.epoch, w.model = o.Members, until, false, o.Epoch, o.Model
	w.standing = time.Time{}
}

// joinTime returns how long a worker takes to join a group of a model.
func (f *fleet) joinTime(w *simWorker, name string, now time.Time) time.Duration {
	model, _ := f.engine.Model(name)
	switch {
	case w.model == name:
		return simHot
	case w.HasStaged(name):
		return model.StagedJoinTime
	case !f.serving(now):
		return model.LoadTime / 10
	}
	f.loads = append(f.loads, now)
	return model.LoadTime
}

// pass ends what has taken its time, and breaks heads that stand still.
func (f *fleet) pass(w *simWorker, now time.Time) {
	m := &w.Membership
	before := *m
	switch {
	case m.State == roster.Joining && !now.Before(w.until):
		m.State = roster.Ready
		if !w.HasStaged(w.model) {
			w.StagedModels = []string{w.model}
		}
		f.wasReady(w)
	case m.State == roster.Ready && w.opening && !now.Before(w.until):
		m.State, w.opening = roster.Open, false
		f.judgeOpen(w)
	case m.State == roster.Closing && !now.Before(w.until):
		m.State = roster.Ready
	case m.State == roster.Open && f.whole(w):
		w.standing = time.Time{}
	case m.State == roster.Open && w.standing.IsZero():
		w.standing = now
	case m.State == roster.Open && now.Sub(w.standing) > simStall:
		m.State = roster.Broken
	}
	if *m != before {
		w.note(now)
	}
}

// whole reports whether a head reaches all members of its group.
func (f *fleet) whole(head *simWorker) bool {
	return !slices.ContainsFunc(head.members, func(id string) bool {
		w := f.workers[id]
		return w == nil || w.dead || w.severed || w.Membership.State == roster.Alone || groupOf(w.Membership) != groupOf(head.Membership)
	})
}
