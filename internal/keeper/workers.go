package keeper

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
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
				k.noteHeadLeft(w.server)
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
		if !k.givenUp(w, now) {
			continue
		}
		if w.server.IsHead() {
			k.Log.Info("head given up", telemetry.Fields{
				"worker": id, "group": w.server.Membership.Group, "listed": w.listed, "ended": w.processEnded, "silent_ms": now.Sub(w.silentSince).Milliseconds(),
			})
		}
		k.noteHeadLeft(w.server)
		switch {
		case !w.listed:
			delete(k.workers, id)
		case w.server.IsHead():
			// If the head becomes reachable again, its next report shows its group.
			w.server.Membership, w.consistent, w.entryChangedAt = roster.Membership{}, false, time.Time{}
			w.groupSource, w.groupSourceAt = GivenUp, now
		}
	}
}

// engineReportLag returns how old the state in a report is when a worker sends it, as
// declared by the engine configuration.
func (k *Keeper) engineReportLag() time.Duration {
	if _, engine := k.Engine(); engine != nil {
		return engine.ReportLag
	}
	return 0
}

// givenUp reports whether to give up a worker that does not answer. A silent head
// may be unreachable only from this instance, so the other instances get time to
// probe it. Even a head that is given up may still be open, which is why its
// members leave its group before they join another one.
func (k *Keeper) givenUp(w *worker, now time.Time) bool {
	switch {
	case !w.isLost() || k.HeadResponding(w.server.ID):
		return false
	case !w.server.IsHead() || w.processEnded:
		return true
	}
	return now.Sub(w.silentSince) > silentHeadTimeout
}

// noteGroupChange records a head that has left its group, given a worker's state
// before and after an update.
func (k *Keeper) noteGroupChange(before, after roster.Server) {
	if !sameGroup(before.Membership, after.Membership) {
		k.noteHeadLeft(before)
	}
}

// noteHeadLeft records, if the server is a head, that it no longer serves its group
// and that the members may leave.
func (k *Keeper) noteHeadLeft(server roster.Server) {
	if !server.IsHead() {
		return
	}
	if k.headLeft == nil {
		k.headLeft = map[string]bool{}
	}
	k.headLeft[server.Membership.Group] = true
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
		headless[group] = k.headLeft[group] || now.Sub(first) > unlistedHeadTimeout
	}
	for group := range k.headLeft {
		if !groups[group] || heads[group] {
			delete(k.headLeft, group)
		}
	}
	return headless
}

// workersToProbe returns the workers whose reports the next decision needs.
func (k *Keeper) workersToProbe(now time.Time) []*worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stalledGroups = map[string]bool{}
	for id, w := range k.workers {
		if w.server.IsHead() && k.HeadStalled(id) {
			k.stalledGroups[w.server.Membership.Group] = true
		}
	}
	var selected []*worker
	for _, w := range k.workers {
		group := w.server.Membership.Group
		due := !w.consistent || !w.listed || w.reportProbedAt.Before(k.termStart) || group != "" && k.stalledGroups[group] || w.failedProbes > 0 ||
			w.reportsMayPredateOrder(now) && now.Sub(w.entryChangedAt) > w.maxReportLag() && now.Sub(w.probedAt) > w.maxReportLag() ||
			group != "" && now.Sub(w.probedAt) > memberProbeInterval
		if !due || w.probing || now.Before(w.probeAfter) || w.isLost() && now.Sub(w.silentSince) > silentHeadTimeout && now.Sub(w.probedAt) < lostProbeInterval {
			continue
		}
		selected = append(selected, w)
	}
	return selected
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
			report, err := k.Report(ctx, known)
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

// recordProbeFailure records that a worker's report could not be obtained.
func (k *Keeper) recordProbeFailure(w *worker, began time.Time, err error) {
	outcome := "failed"
	if tooLong := (*exchange.TooLongError)(nil); errors.As(err, &tooLong) {
		outcome = "answer too long"
	}
	k.Metrics.Probes.WithLabelValues(outcome).Inc()
	if w.failedProbes == 0 {
		w.silentSince = began
	}
	w.processEnded = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrOtherWorker)
	if k.OnWorkerEnded != nil && errors.Is(err, ErrOtherWorker) {
		k.OnWorkerEnded(w.server)
	}
	m, was := w.server.Membership, w.isLost()
	w.failedProbes++
	if m.State != roster.Alone && k.stalledGroups[m.Group] {
		// Stalled streams of the worker's group are a second sign of a loss, so one
		// failed probe is enough.
		w.failedProbes = max(w.failedProbes, lostAfterFailures)
	}
	if was || !w.isLost() {
		return
	}
	k.Log.Info("worker lost", telemetry.Fields{"worker": w.server.ID, "group": m.Group, "error": err.Error(), "listed": w.listed})
	if m.State != roster.Alone {
		if k.groupLostAt == nil {
			k.groupLostAt = map[string]time.Time{}
		}
		k.groupLostAt[formation.ModelOf(m.Group)] = began
	}
}

func (k *Keeper) applyReport(w *worker, began time.Time, report roster.Server) {
	k.Metrics.Probes.WithLabelValues("answered").Inc()
	if w.isLost() {
		k.Log.Info("worker back", telemetry.Fields{"worker": w.server.ID})
	}
	w.failedProbes, w.silentSince, w.processEnded = 0, time.Time{}, false
	before := w.server
	w.applyReport(report, began)
	k.noteGroupChange(before, w.server)
}

// ErrOtherWorker marks a report request that was answered by another worker at
// the address.
var ErrOtherWorker = errors.New("address belongs to another worker")

// SilentHeads returns the lost heads, so that other instances can probe them.
func (k *Keeper) SilentHeads() []roster.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	var heads []roster.Server
	for _, w := range k.workers {
		if w.isLost() && w.server.IsHead() {
			heads = append(heads, w.server)
		}
	}
	return heads
}
