package keeper

import (
	"context"
	"maps"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/presence"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// mergeList updates the workers from the platform's list. Only the keeper, which
// probes the workers, can determine which of those that are not listed have ended.
func (k *Keeper) mergeList(now time.Time, service string, acting bool) {
	list, _ := k.List()
	if !acting && list == k.lastList {
		return
	}
	k.lastList = list
	lag := k.engineReportLag()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.workers == nil {
		k.workers = map[string]*worker{}
	}
	for _, w := range k.workers {
		w.listed = false
	}
	for _, s := range list.All() {
		if s.Service != service || s.DataCentre != k.DataCentre {
			continue
		}
		w := k.workers[s.ID]
		if w == nil || !w.server.SameRun(s) {
			if w != nil {
				k.noteDeparture(w.server)
			}
			w = newWorker(s, now)
			k.workers[s.ID] = w
		}
		w.listed, w.unlistedAt, w.engineReportLag = true, time.Time{}, lag
		if s.EntrySeq != w.entry.EntrySeq {
			before := w.server
			w.applyEntry(s, now)
			k.noteGroupChange(before, w.server)
		}
		w.server.Draining = s.Draining
	}
	for id, w := range k.workers {
		if !w.listed {
			// A worker that is not listed but still answers is drained, so that it
			// leaves its group in an orderly way.
			w.server.Draining = true
			if w.unlistedAt.IsZero() {
				w.unlistedAt = now
			}
		}
		if !acting {
			if !w.listed && now.Sub(w.unlistedAt) > unlistedRetention {
				delete(k.workers, id)
			}
			continue
		}
		if k.assess(w, now); w.presence != presence.Ended {
			continue
		}
		k.noteDeparture(w.server)
		switch {
		case !w.listed:
			delete(k.workers, id)
		case w.server.IsHead():
			// If the head becomes reachable again, its next report shows its group.
			w.server.Membership, w.consistent, w.entryChangedAt = roster.Membership{}, false, time.Time{}
			w.groupSource, w.groupSourceAt = GivenUp, now
		}
	}
	k.forgetDepartures()
}

// engineReportLag returns how old the state in a report is when a worker sends it, as
// declared by the engine configuration.
func (k *Keeper) engineReportLag() time.Duration {
	if _, engine := k.Engine(); engine != nil {
		return engine.ReportLag
	}
	return 0
}

// assess concludes from the evidence whether a worker has ended. A silent head may be
// unreachable only from this instance, so the other instances get time to probe it. Even
// a head that has ended by the evidence may still be open, which is why its members leave
// its group before they join another one.
func (k *Keeper) assess(w *worker, now time.Time) {
	e, group, before := w.evidence, w.server.Membership.Group, w.presence
	if e.Unanswered > 0 {
		e.Draining, e.Responding = w.entry.Draining, k.isResponding(group)
	}
	w.presence = e.State(now)
	if w.presence == before {
		return
	}
	event := "worker back"
	switch {
	case before == presence.Present:
		event = "worker lost"
	case w.presence == presence.Ended:
		event = "worker ended"
	}
	k.Log.Info(event, telemetry.Fields{
		"worker": w.server.ID, "group": group, "head": w.server.IsHead(), "listed": w.listed, "state": w.presence.String(),
		"unanswered": e.Unanswered, "silent_ms": silentFor(e, now).Milliseconds(), "refused": e.Refused, "unreachable": e.Unreachable, "replaced": e.Replaced,
		"draining": e.Draining, "group_stalled": e.Stalled, "group_responding": e.Responding, "error": w.probeError,
	})
	switch model := formation.ModelOf(group); {
	case w.server.Membership.State == roster.Alone:
	case before == presence.Present:
		if k.groupLostAt == nil {
			k.groupLostAt = map[string]time.Time{}
		}
		k.groupLostAt[model] = e.SilentSince
	case before == presence.Silent && w.presence == presence.Present:
		delete(k.groupLostAt, model)
	}
}

// isResponding reports whether a group has lately sent events to this instance or a peer, or
// its head has answered a peer.
func (k *Keeper) isResponding(group string) bool {
	head, known := k.groupHeads[group]
	return known && k.HeadResponding(head)
}

func silentFor(e presence.Evidence, now time.Time) time.Duration {
	if e.Unanswered == 0 {
		return 0
	}
	return now.Sub(e.SilentSince)
}

// noteGroupChange records a worker that has left its group, given its state before and
// after an update.
func (k *Keeper) noteGroupChange(before, after roster.Server) {
	if !sameGroup(before.Membership, after.Membership) {
		k.noteDeparture(before)
	}
}

// noteDeparture records that a server has left its group, restarted or ended. If it was
// the head, the members may leave, too.
func (k *Keeper) noteDeparture(server roster.Server) {
	m := server.Membership
	if m.State == roster.Alone {
		return
	}
	if k.departed == nil {
		k.departed = map[string]map[int]bool{}
	}
	if k.departed[m.Group] == nil {
		k.departed[m.Group] = map[int]bool{}
	}
	k.departed[m.Group][m.Rank] = true
}

// forgetDepartures drops the departures from ranks that a worker has now, and from groups
// without members.
func (k *Keeper) forgetDepartures() {
	groups := map[string]bool{}
	for _, w := range k.workers {
		if m := w.server.Membership; m.State != roster.Alone {
			groups[m.Group] = true
			delete(k.departed[m.Group], m.Rank)
		}
	}
	maps.DeleteFunc(k.departed, func(group string, ranks map[int]bool) bool { return !groups[group] || len(ranks) == 0 })
}

// headlessGroups returns the groups without a known head; the value is true if the
// head was observed to leave, was given up, or has been unknown for longer than
// unlistedHeadTimeout.
func (k *Keeper) headlessGroups(now time.Time) map[string]bool {
	heads, groups := map[string]bool{}, map[string]bool{}
	for _, w := range k.workers {
		if m := w.server.Membership; m.State != roster.Alone {
			groups[m.Group] = true
			if m.Rank == 0 {
				heads[m.Group] = true
			}
		}
	}
	since := map[string]time.Time{}
	for group := range groups {
		if heads[group] {
			continue
		}
		first, ok := k.headlessSince[group]
		if !ok {
			first = now
		}
		since[group] = first
	}
	k.headlessSince = since
	headless := map[string]bool{}
	for group, first := range since {
		headless[group] = k.departed[group][0] || now.Sub(first) > unlistedHeadTimeout
	}
	return headless
}

// workersToProbe returns the workers whose reports the next decision needs.
func (k *Keeper) workersToProbe(now time.Time) []*worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeGroups()
	var selected []*worker
	for _, w := range k.workers {
		group := w.server.Membership.Group
		due := !w.consistent || !w.listed || w.reportProbedAt.Before(k.termStart) || group != "" && k.stalledGroups[group] || w.evidence.Unanswered > 0 ||
			w.reportsMayPredateOrder(now) && now.Sub(w.entryChangedAt) > w.maxReportLag() && now.Sub(w.probedAt) > w.maxReportLag() ||
			group != "" && now.Sub(w.probedAt) > memberProbeInterval
		if !due || w.probing || now.Before(w.probeAfter) || w.presence == presence.Ended && now.Sub(w.probedAt) < endedProbeInterval {
			continue
		}
		selected = append(selected, w)
	}
	return selected
}

// observeGroups records the heads of the groups, and which of them have stalled streams.
func (k *Keeper) observeGroups() {
	k.groupHeads, k.stalledGroups = map[string]string{}, map[string]bool{}
	for id, w := range k.workers {
		if !w.server.IsHead() {
			continue
		}
		group := w.server.Membership.Group
		k.groupHeads[group] = id
		if k.HeadStalled(id) {
			k.stalledGroups[group] = true
		}
	}
}

// probe requests reports from workers concurrently and applies those that arrive
// within the answer timeout.
func (k *Keeper) probe(ctx context.Context, workers []*worker) {
	var calls []asyncCall
	for _, w := range workers {
		w.probing, w.probedAt = true, time.Now()
		known := w.server
		calls = append(calls, func() func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			began := time.Now()
			// The report may be requested on an earlier connection, which doesn't tell a
			// worker that is silent from one that is gone.
			connected := make(chan error, 1)
			check := time.AfterFunc(connectDelay, func() { connected <- k.connect(ctx, known) })
			report, err := k.Report(ctx, known)
			isChecked := !check.Stop()
			if err != nil && (exchange.NotSent(err) || isChecked && <-connected != nil) {
				err = errors.Mark(err, errUnreachable)
			}
			return func() {
				w.probing = false
				if err != nil {
					k.recordProbeFailure(w, began, err)
					return
				}
				k.applyReport(w, began, report)
			}
		})
	}
	k.runCalls(ctx, calls)
}

// errUnreachable marks a failed request for a report of a worker to which no connection
// could be opened.
var errUnreachable = errors.New("no connection could be opened")

// connect opens a connection to a member of a group. Heads are left to the other instances,
// as one may be out of reach only from here.
func (k *Keeper) connect(ctx context.Context, worker roster.Server) error {
	if k.Connect == nil || worker.Membership.State == roster.Alone || worker.IsHead() {
		return nil
	}
	return k.Connect(ctx, worker)
}

// recordProbeFailure records that a worker's report could not be obtained.
func (k *Keeper) recordProbeFailure(w *worker, began time.Time, err error) {
	outcome := "failed"
	if tooLong := (*exchange.TooLongError)(nil); errors.As(err, &tooLong) {
		outcome = "answer too long"
	}
	k.Metrics.Probes.WithLabelValues(outcome).Inc()
	if w.evidence.Unanswered == 0 {
		w.evidence.SilentSince = began
	}
	w.evidence.Unanswered++
	w.evidence.Refused, w.evidence.Replaced = errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrOtherWorker)
	w.evidence.Unreachable = errors.Is(err, errUnreachable) && !w.server.IsHead()
	w.evidence.Stalled = w.evidence.Stalled || k.stalledGroups[w.server.Membership.Group]
	w.probeError = err.Error()
	if k.OnWorkerEnded != nil && w.evidence.Replaced {
		k.OnWorkerEnded(w.server)
	}
	k.assess(w, time.Now())
}

func (k *Keeper) applyReport(w *worker, began time.Time, report roster.Server) {
	k.Metrics.Probes.WithLabelValues("answered").Inc()
	w.evidence, w.probeError = presence.Evidence{}, ""
	k.assess(w, time.Now())
	before := w.server
	w.applyReport(report, began)
	k.noteGroupChange(before, w.server)
}

// ErrOtherWorker marks a report request that was answered by another worker at
// the address.
var ErrOtherWorker = errors.New("address belongs to another worker")

// SilentHeads returns the heads that don't answer, so that other instances can probe them.
func (k *Keeper) SilentHeads() []roster.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	var heads []roster.Server
	for _, w := range k.workers {
		if !w.isPresent() && w.server.IsHead() {
			heads = append(heads, w.server)
		}
	}
	return heads
}
