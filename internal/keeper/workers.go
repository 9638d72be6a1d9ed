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

// merge takes the platform's list in. Only a keeper that asks the workers can
// tell which of those that are not listed are gone.
func (k *Keeper) merge(now time.Time, service string, acting bool) {
	list, _ := k.List()
	if !acting && list == k.list {
		return
	}
	k.list = list
	lag := k.reportLag()
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
				k.leftGroup(w.server)
			}
			w = newWorker(s, now)
			k.workers[s.ID] = w
		}
		w.listed, w.unlistedAt, w.engineLag = true, time.Time{}, lag
		if s.EntrySeq != w.entry.EntrySeq {
			was := w.server
			w.takeEntry(s, now)
			k.moved(was, w.server)
		}
		w.server.Draining = s.Draining
	}
	for id, w := range k.workers {
		if !w.listed {
			// A worker that is not listed but still answers leaves its group in order.
			w.server.Draining = true
			if w.unlistedAt.IsZero() {
				w.unlistedAt = now
			}
		}
		if !acting {
			if !w.listed && now.Sub(w.unlistedAt) > forgetUnlisted {
				delete(k.workers, id)
			}
			continue
		}
		if !k.gone(w, now) {
			continue
		}
		if w.server.IsHead() {
			k.Log.Info("head given up", telemetry.Fields{
				"worker": id, "group": w.server.Membership.Group, "listed": w.listed, "ended": w.ended, "silent_ms": now.Sub(w.silent).Milliseconds(),
			})
		}
		k.leftGroup(w.server)
		switch {
		case !w.listed:
			delete(k.workers, id)
		case w.server.IsHead():
			// If it comes back, its next report says where it is.
			w.server.Membership, w.known, w.movedAt = roster.Membership{}, false, time.Time{}
			w.source, w.sourceAt = GivenUp, now
		}
	}
}

// reportLag returns how old the engines' reports are when they are sent.
func (k *Keeper) reportLag() time.Duration {
	if _, engine := k.Engine(); engine != nil {
		return engine.ReportLag
	}
	return 0
}

// gone reports whether a worker that doesn't answer is given up. A silent head
// may be cut off from here only, so the other instances are given time to ask it.
// It may still be open: its members leave its group before they join another.
func (k *Keeper) gone(w *worker, now time.Time) bool {
	switch {
	case !w.lost() || k.HeadResponding(w.server.ID):
		return false
	case !w.server.IsHead() || w.ended:
		return true
	}
	return now.Sub(w.silent) > headPatience
}

// moved notes that a worker is in another group than before.
func (k *Keeper) moved(was, is roster.Server) {
	if !sameGroup(was.Membership, is.Membership) {
		k.leftGroup(was)
	}
}

// leftGroup notes that a head serves its group no more, so that its members are free.
func (k *Keeper) leftGroup(was roster.Server) {
	if !was.IsHead() {
		return
	}
	if k.headless == nil {
		k.headless = map[string]bool{}
	}
	k.headless[was.Membership.Group] = true
}

// headlessGroups returns the groups whose head was seen to leave, is given up, or
// has not been listed for a while.
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
	gone := map[string]bool{}
	for group, first := range since {
		gone[group] = k.headless[group] || now.Sub(first) > unlistedPatience
	}
	for group := range k.headless {
		if !groups[group] || heads[group] {
			delete(k.headless, group)
		}
	}
	return gone
}

// toAsk returns the workers whose report is needed for the next decision.
func (k *Keeper) toAsk(now time.Time) []*worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stalled = map[string]bool{}
	for id, w := range k.workers {
		if w.server.IsHead() && k.HeadStalled(id) {
			k.stalled[w.server.Membership.Group] = true
		}
	}
	var ask []*worker
	for _, w := range k.workers {
		group := w.server.Membership.Group
		due := !w.known || !w.listed || w.reportAt.Before(k.turn) || group != "" && k.stalled[group] || w.failures > 0 ||
			w.settling(now) && now.Sub(w.movedAt) > w.lag() && now.Sub(w.askedAt) > w.lag() ||
			group != "" && now.Sub(w.askedAt) > memberInterval
		if !due || w.asking || now.Before(w.askAfter) || w.lost() && now.Sub(w.silent) > headPatience && now.Sub(w.askedAt) < lostRecheck {
			continue
		}
		ask = append(ask, w)
	}
	return ask
}

// ask asks workers for their reports, side by side.
func (k *Keeper) ask(ctx context.Context, workers []*worker) {
	var calls []call
	for _, w := range workers {
		w.asking, w.askedAt = true, time.Now()
		known := w.server
		calls = append(calls, func() func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			began := time.Now()
			report, err := k.Report(ctx, known)
			return func() {
				w.asking = false
				if err != nil {
					k.takeSilence(w, began, err)
					return
				}
				k.takeReport(w, began, report)
			}
		})
	}
	k.run(ctx, calls)
}

// takeSilence notes that a worker has not answered a question.
func (k *Keeper) takeSilence(w *worker, began time.Time, err error) {
	outcome := "failed"
	if long := (*exchange.TooLongError)(nil); errors.As(err, &long) {
		outcome = "answer too long"
	}
	k.Metrics.Probes.WithLabelValues(outcome).Inc()
	if w.failures == 0 {
		w.silent = began
	}
	w.ended = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrOtherWorker)
	if k.OnWorkerEnded != nil && errors.Is(err, ErrOtherWorker) {
		k.OnWorkerEnded(w.server)
	}
	m, was := w.server.Membership, w.lost()
	w.failures++
	if m.State != roster.Alone && k.stalled[m.Group] {
		// Its group's streams stand still, which is the other sign of a loss.
		w.failures = max(w.failures, lostAfter)
	}
	if was || !w.lost() {
		return
	}
	k.Log.Info("worker lost", telemetry.Fields{"worker": w.server.ID, "group": m.Group, "error": err.Error(), "listed": w.listed})
	if m.State != roster.Alone {
		if k.lostAt == nil {
			k.lostAt = map[string]time.Time{}
		}
		k.lostAt[formation.ModelOf(m.Group)] = began
	}
}

func (k *Keeper) takeReport(w *worker, began time.Time, report roster.Server) {
	k.Metrics.Probes.WithLabelValues("answered").Inc()
	if w.lost() {
		k.Log.Info("worker back", telemetry.Fields{"worker": w.server.ID})
	}
	w.failures, w.silent, w.ended = 0, time.Time{}, false
	was := w.server
	w.takeReport(report, began)
	k.moved(was, w.server)
}

// ErrOtherWorker marks a question that another worker at the address answered.
var ErrOtherWorker = errors.New("address belongs to another worker")

// SilentHeads returns the heads that do not answer, for other instances to ask.
func (k *Keeper) SilentHeads() []roster.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	var silent []roster.Server
	for _, w := range k.workers {
		if w.lost() && w.server.IsHead() {
			silent = append(silent, w.server)
		}
	}
	return silent
}
