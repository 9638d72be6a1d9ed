package keeper

import (
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	simOpenTime     = 300 * time.Millisecond // from the order to open until the head serves
	simBreakTimeout = 6 * time.Second        // how long a head may be stalled before it is broken
	simRejoinTime   = 200 * time.Millisecond // time to join another group of the same model
	simHeartbeat    = time.Second            // maximum time between two writes of an entry
	simEntryTimeout = 3 * simHeartbeat       // time without a write after which an entry is removed
)

// simWorker is the actual state of a simulated worker, independent of what the
// keepers know about it.
type simWorker struct {
	roster.Server
	history []timedState // its states so far, for lagging reports
	ended   bool
	exitAt  time.Time // when it ends, if it is draining

	members      []string  // of its group
	phaseEnd     time.Time // when joining, opening or closing completes
	opening      bool
	lastModel    string // of its current or last group
	maxEpoch     int64  // the highest epoch seen in this run
	stalledSince time.Time

	unreachable      bool         // for all instances
	cutFromInstances map[int]bool // numbers of the instances that cannot reach it
	entryNotWritten  bool         // its entry is not updated
	cutFromHead      bool         // the head of its group cannot reach it
	unresponsive     bool         // it answers neither probes nor orders

	entryOutdated  bool // the state has changed since the entry was written
	nextEntryWrite time.Time
}

// timedState is a state of a worker and the time when the worker entered it.
type timedState struct {
	at    time.Time
	state roster.Server
}

func groupKeyOf(m roster.Membership) groupKey { return groupKey{m.Group, m.Epoch} }

// groupKey identifies a group by its name and epoch.
type groupKey struct {
	name  string
	epoch int64
}

// recordState adds the worker's current state to its history.
func (w *simWorker) recordState(now time.Time) {
	state := w.Server
	state.StagedModels = slices.Clone(state.StagedModels)
	w.history = append(w.history, timedState{now, state})
	w.entryOutdated = true
}

// stateAt returns the worker's state at the time t.
func (w *simWorker) stateAt(t time.Time) roster.Server {
	for i := len(w.history) - 1; i > 0; i-- {
		if !w.history[i].at.After(t) {
			return w.history[i].state
		}
	}
	return w.history[0].state
}

// start begins a new run of the worker. Staged weights remain on the host.
func (w *simWorker) start(now time.Time) {
	w.Server = roster.Server{ID: w.ID, Service: simService, DataCentre: "a", Domain: w.Domain, StagedModels: w.StagedModels, StartUnixMilli: now.UnixMilli(), EntrySeq: w.EntrySeq + 1, Pace: 1}
	w.history, w.ended, w.exitAt = nil, false, time.Time{}
	w.members, w.opening, w.lastModel, w.maxEpoch, w.stalledSince = nil, false, "", 0, time.Time{}
	w.recordState(now)
}

// check returns how the worker answers an order in its current state, apart from the
// order count.
func (w *simWorker) check(o formation.Order) Outcome {
	m := w.Membership
	here := m.State != roster.Alone && groupKeyOf(m) == groupKey{o.Group, o.Epoch}
	switch {
	case o.Operation == formation.Join && here:
		if slices.Equal(w.members, o.Members) {
			return Done
		}
		return Rejected
	case o.Operation == formation.Join && o.Epoch < w.maxEpoch:
		return Outdated
	case o.Operation != formation.Join && !here:
		return Rejected
	case o.Operation == formation.Open && m.Rank == 0 && (m.State == roster.Open || w.opening):
		return Done
	case o.Operation == formation.Open && (m.Rank != 0 || m.State != roster.Ready),
		o.Operation == formation.Close && (m.Rank != 0 || m.State != roster.Open):
		return Rejected
	}
	return Begun
}

// execute carries out an accepted order.
func (f *fleet) execute(w *simWorker, o formation.Order, now time.Time) Outcome {
	m := &w.Membership
	w.OrderCount++
	if o.Operation == formation.Close || o.Operation == formation.Leave {
		f.checkEnd(w, o)
	}
	outcome := Begun
	switch o.Operation {
	case formation.Join:
		f.checkJoin(w, o)
		w.join(o, now.Add(f.joinTime(w, o.Model, now)))
	case formation.Open:
		w.opening, w.phaseEnd = true, now.Add(simOpenTime)
	case formation.Close:
		m.State, w.phaseEnd = roster.Closing, now
		if !o.Cancel {
			w.phaseEnd = now.Add(f.random.duration(0, 3*time.Second))
		}
	case formation.Leave:
		*m, w.members, w.opening, outcome = roster.Membership{}, nil, false, Done
	}
	w.recordState(now)
	return outcome
}

func (w *simWorker) join(o formation.Order, until time.Time) {
	w.Membership = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.ID), State: roster.Joining}
	w.members, w.phaseEnd, w.opening, w.maxEpoch, w.lastModel = o.Members, until, false, o.Epoch, o.Model
	w.stalledSince = time.Time{}
}

// joinTime returns how long a worker takes to join a group of a model, and records a
// load from the store of weights.
func (f *fleet) joinTime(w *simWorker, name string, now time.Time) time.Duration {
	model, _ := f.engine.Model(name)
	switch {
	case w.lastModel == name:
		return simRejoinTime
	case w.HasStaged(name):
		return model.StagedJoinTime
	case !f.clientsSend(now):
		return model.LoadTime / 10
	}
	f.loadStarts = append(f.loadStarts, now)
	return model.LoadTime
}

// advance completes transitions that are due, and breaks heads that have been stalled
// for too long.
func (f *fleet) advance(w *simWorker, now time.Time) {
	m := &w.Membership
	before := *m
	switch {
	case m.State == roster.Joining && !now.Before(w.phaseEnd):
		m.State = roster.Ready
		if !w.HasStaged(w.lastModel) {
			w.StagedModels = []string{w.lastModel}
		}
		f.markReady(w)
	case m.State == roster.Ready && w.opening && !now.Before(w.phaseEnd):
		m.State, w.opening = roster.Open, false
		f.checkOpen(w)
	case m.State == roster.Closing && !now.Before(w.phaseEnd):
		m.State = roster.Ready
	case m.State == roster.Open && f.isWhole(w):
		w.stalledSince = time.Time{}
	case m.State == roster.Open && w.stalledSince.IsZero():
		w.stalledSince = now
	case m.State == roster.Open && now.Sub(w.stalledSince) > simBreakTimeout:
		m.State = roster.Broken
	}
	if *m != before {
		w.recordState(now)
	}
}

// isWhole reports whether a group is complete: its head reaches all members.
func (f *fleet) isWhole(head *simWorker) bool {
	return !slices.ContainsFunc(head.members, func(id string) bool {
		w := f.workers[id]
		return w == nil || w.ended || w.cutFromHead || w.Membership.State == roster.Alone || groupKeyOf(w.Membership) != groupKeyOf(head.Membership)
	})
}
