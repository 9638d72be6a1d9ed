package keeper

import (
	"cmp"
	"context"
	"maps"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
)

// sendOrders sends the orders concurrently. It skips workers that are unknown, have
// an inconsistent state or another order in flight, and orders that repeat one that
// was just answered.
func (k *Keeper) sendOrders(ctx context.Context, orders []formation.Order) {
	var calls []asyncCall
	var confirm func() confirmation
	for _, o := range orders {
		w := k.workers[o.Worker]
		if w == nil || !w.consistent || w.ordering {
			continue
		}
		if w.reportsMayPredateOrder(time.Now()) && w.lastOrder.Operation == o.Operation && w.lastOrder.Group == o.Group {
			continue
		}
		w.ordering = true
		server, count, decidedOn := w.server, w.server.OrderCount, groupFields(w, time.Now())
		if o.NeedsLoad {
			k.loadBudget.spend(time.Now(), 1)
		}
		if o.Operation == formation.Join {
			w.orderedEpoch = max(w.orderedEpoch, o.Epoch)
		}
		if o.Operation == formation.Open && confirm == nil {
			confirm = k.confirmGrant(ctx)
		}
		calls = append(calls, func() func() {
			if o.Operation == formation.Open {
				if c := confirm(); c != confirmed {
					return func() {
						w.ordering = false
						if c == contradicted {
							k.surpass(formation.TermOf(o.Epoch))
						}
					}
				}
			}
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			outcome, err := k.Order(ctx, server, o, count)
			return func() {
				w.ordering = false
				k.logOrder(o, count, decidedOn, outcome, err)
				k.applyAnswer(w, o, count, outcome)
			}
		})
	}
	k.runCalls(ctx, calls)
}

// groupFields returns log fields for the group that the keeper assumes a worker to
// be in, and for where and how long ago it learned of that group.
func groupFields(w *worker, now time.Time) telemetry.Fields {
	return telemetry.Fields{
		"held_group": w.server.Membership.Group, "held_from": w.groupSource.String(), "held_age_ms": now.Sub(w.groupSourceAt).Milliseconds(),
	}
}

func (k *Keeper) logOrder(o formation.Order, count int64, decidedOn telemetry.Fields, outcome Outcome, err error) {
	fields := telemetry.Fields{
		"worker": o.Worker, "operation": o.Operation.String(), "group": o.Group, "epoch": o.Epoch, "model": o.Model,
		"count": count, "reason": o.Reason, "outcome": outcome.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	maps.Copy(fields, decidedOn)
	k.Log.Info("order", fields)
	k.Metrics.Orders.WithLabelValues(o.Operation.String(), outcome.String()).Inc()
}

func (k *Keeper) applyAnswer(w *worker, o formation.Order, count int64, outcome Outcome) {
	before := w.server
	w.applyAnswer(o, count, outcome, time.Now())
	k.noteGroupChange(before, w.server)
	if outcome == Outdated {
		// The worker's reports do not show an epoch that it has seen in a group that it has
		// left since.
		k.surpass(formation.TermOf(o.Epoch))
	}
	if f, ok := k.forming[o.Group]; ok && o.Operation == formation.Join && outcome != Rejected && outcome != Outdated {
		f.JoinOrdered[o.Worker] = true
	}
	if o.Operation == formation.Open && outcome == Begun {
		if at, ok := k.groupLostAt[formation.ModelOf(o.Group)]; ok {
			delete(k.groupLostAt, formation.ModelOf(o.Group))
			k.Metrics.GroupRepairTime.Observe(time.Since(at).Seconds())
			k.Log.Info("group replaced", telemetry.Fields{"group": o.Group, "ms": time.Since(at).Milliseconds()})
		}
	}
}

// asyncCall sends a probe or an order and returns a function that applies the
// result to the keeper's state.
type asyncCall func() func()

// runCalls makes calls concurrently and applies their results. It returns after
// the answer timeout; results that arrive later are applied by a later step.
func (k *Keeper) runCalls(ctx context.Context, calls []asyncCall) {
	if k.results == nil {
		k.results = make(chan func())
	}
	for _, c := range calls {
		k.calls.Go(func() error {
			apply := c()
			select {
			case k.results <- apply:
			case <-ctx.Done():
			}
			return nil
		})
	}
	timer := time.NewTimer(cmp.Or(k.answerTimeout, defaultAnswerTimeout))
	defer timer.Stop()
	for range calls {
		select {
		case apply := <-k.results:
			k.applyResult(apply)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyResult runs apply, which applies the result of a call, with the lock held.
func (k *Keeper) applyResult(apply func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	apply()
}

// applyPendingResults applies the results that have arrived since the last step.
func (k *Keeper) applyPendingResults() {
	for {
		select {
		case apply := <-k.results:
			k.applyResult(apply)
		default:
			return
		}
	}
}
