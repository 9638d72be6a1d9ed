package keeper

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

// worker is what the keeper knows of a worker.
type worker struct {
	server     roster.Server // newest of list and report
	entry      roster.Server // as last listed
	entryAt    time.Time     // when that was taken in
	seenAt     time.Time
	listed     bool
	unlistedAt time.Time // when it was first missing in the list
	known      bool      // its count of orders is known
	askedAt    time.Time // when its report was last asked for
	reportAt   time.Time // when the last report that came was asked for
	failures   int       // questions without an answer, in a row
	silent     time.Time // when the first of them was asked
	ended      bool      // its address answered for it: no process, or another worker
	ordered    formation.Order
	answered   time.Time // when the last order was answered or given up; zero before the first
}

// settling reports whether the worker's reports may be older than its last order.
func (w *worker) settling(now time.Time) bool {
	return !w.answered.IsZero() && now.Sub(w.answered) < settleTime
}

func (w *worker) lost() bool { return w.failures >= lostAfter }

// merge takes the platform's list in. Only a keeper that asks the workers can
// tell which of those that are not listed are gone.
func (k *Keeper) merge(now time.Time, service string, acting bool) {
	list, _ := k.List()
	if !acting && list == k.list {
		return
	}
	k.list = list
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
		if w == nil || !w.server.SameLife(s) {
			if w != nil {
				k.leftGroup(w.server)
			}
			w = &worker{server: s, entry: s, entryAt: now, seenAt: now}
			k.workers[s.ID] = w
		}
		w.listed, w.unlistedAt = true, time.Time{}
		if s.Seq != w.entry.Seq {
			w.entry, w.entryAt = s, now
			k.takeEntry(w, s)
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
		k.leftGroup(w.server)
		switch {
		case !w.listed:
			delete(k.workers, id)
		case w.server.IsHead():
			// If it comes back, its next report says where it is.
			w.server.Membership, w.known, w.entryAt = roster.Membership{}, false, time.Time{}
		}
	}
}

// gone reports whether a worker that doesn't answer can't be serving any more.
// A silent head may be cut off from here only, and still be open; it has broken
// for certain when it has been silent for longer than groups take to break.
func (k *Keeper) gone(w *worker, now time.Time) bool {
	switch {
	case !w.lost() || k.Moving(w.server.ID):
		return false
	case !w.server.IsHead() || w.ended:
		return true
	}
	return now.Sub(w.silent) > k.StallTime+breakMargin
}

// takeEntry takes over what a newer entry says.
func (k *Keeper) takeEntry(w *worker, s roster.Server) {
	s.Orders, s.Busy, s.Pace = w.server.Orders, w.server.Busy, w.server.Pace
	k.replace(w, s)
}

// replace takes over what a worker says of itself.
func (k *Keeper) replace(w *worker, s roster.Server) {
	if s.Membership.Group != w.server.Membership.Group || s.Membership.Epoch != w.server.Membership.Epoch {
		k.leftGroup(w.server)
	}
	w.server = s
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

// headlessGroups returns the groups whose head certainly serves no more: it was
// seen to leave, or nothing was heard of it for longer than groups take to break.
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
		gone[group] = k.headless[group] || now.Sub(first) > k.StallTime+breakMargin
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
	stalled := map[string]bool{} // groups
	for id, w := range k.workers {
		if w.server.IsHead() && k.Stalled(id) {
			stalled[w.server.Membership.Group] = true
		}
	}
	var ask []*worker
	for _, w := range k.workers {
		group := w.server.Membership.Group
		due := !w.known || !w.listed || group != "" && stalled[group] || w.failures > 0 ||
			w.settling(now) && now.Sub(w.entryAt) > reportLag && now.Sub(w.askedAt) > reportLag ||
			group != "" && now.Sub(w.askedAt) > memberInterval
		if !due || w.lost() && now.Sub(w.askedAt) < lostRecheck {
			continue
		}
		w.askedAt = now
		ask = append(ask, w)
	}
	return ask
}

// ask asks workers for their reports, side by side.
func (k *Keeper) ask(ctx context.Context, workers []*worker) {
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, w := range workers {
		group.Go(func() error {
			k.askOne(ctx, w)
			return nil
		})
	}
	_ = group.Wait() // askOne records its failures with the worker
}

func (k *Keeper) askOne(ctx context.Context, w *worker) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	k.mu.Lock()
	known := w.server
	k.mu.Unlock()
	began := time.Now()
	report, err := k.Report(ctx, known)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.Metrics.Probes.WithLabelValues("failed").Inc()
		if w.failures == 0 {
			w.silent = began
		}
		w.ended = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrAnotherWorker)
		if w.failures++; w.failures == lostAfter {
			k.Log.Info("worker lost", telemetry.Fields{
				"worker": known.ID, "group": known.Membership.Group, "error": err.Error(), "listed": w.listed,
			})
			if m := known.Membership; m.State != roster.Alone {
				if k.lostAt == nil {
					k.lostAt = map[string]time.Time{}
				}
				k.lostAt[formation.ModelOf(m.Group)] = began
			}
		}
		return
	}
	k.Metrics.Probes.WithLabelValues("answered").Inc()
	if w.failures >= lostAfter {
		k.Log.Info("worker back", telemetry.Fields{"worker": known.ID})
	}
	w.failures, w.silent, w.ended = 0, time.Time{}, false
	if w.settling(began) && report.SameLife(w.server) && report.Orders < w.server.Orders {
		// The report is older than the answer to the last order. Its state must
		// not be taken together with the newer count.
		w.known, w.reportAt = true, began
		return
	}
	report.Draining = w.server.Draining
	if _, read := k.List(); w.listed && began.Sub(read) < listTrust {
		// A report may be older than the entry. Taken for a head that left, an old
		// one would set the members of an open group free.
		report.Membership, report.Staged, report.Models = w.entry.Membership, w.entry.Staged, w.entry.Models
	}
	k.replace(w, report)
	w.known, w.reportAt = true, began
}

// ErrAnotherWorker marks a question that another worker at the address answered.
var ErrAnotherWorker = errors.New("address belongs to another worker")

// Silent returns the heads that do not answer, for other instances to ask.
func (k *Keeper) Silent() []roster.Server {
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
