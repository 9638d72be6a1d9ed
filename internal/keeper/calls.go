package keeper

import (
	"cmp"
	"context"
	"maps"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
)

// send sends the orders side by side.
func (k *Keeper) send(ctx context.Context, orders []formation.Order) {
	var calls []call
	for _, o := range orders {
		w := k.workers[o.Worker]
		if w == nil || !w.known || w.ordering {
			continue
		}
		if w.settling(time.Now()) && w.ordered.Operation == o.Operation && w.ordered.Group == o.Group {
			continue
		}
		w.ordering = true
		server, count, held := w.server, w.server.OrderCount, heldGroup(w, time.Now())
		if o.NeedsLoad {
			k.loads.spend(time.Now(), 1)
		}
		calls = append(calls, func() func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			outcome, err := k.Order(ctx, server, o, count)
			return func() {
				w.ordering = false
				k.logOrder(o, count, held, outcome, err)
				k.takeAnswer(w, o, count, outcome)
			}
		})
	}
	k.run(ctx, calls)
}

// heldGroup returns the log fields for the group that a decision about a worker was made on.
func heldGroup(w *worker, now time.Time) telemetry.Fields {
	return telemetry.Fields{
		"held_group": w.server.Membership.Group, "held_from": w.source.String(), "held_age_ms": now.Sub(w.sourceAt).Milliseconds(),
	}
}

func (k *Keeper) logOrder(o formation.Order, count int64, held telemetry.Fields, outcome Outcome, err error) {
	fields := telemetry.Fields{
		"worker": o.Worker, "operation": o.Operation.String(), "group": o.Group, "epoch": o.Epoch, "model": o.Model,
		"count": count, "reason": o.Reason, "outcome": outcome.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	maps.Copy(fields, held)
	k.Log.Info("order", fields)
	k.Metrics.Orders.WithLabelValues(o.Operation.String(), outcome.String()).Inc()
}

func (k *Keeper) takeAnswer(w *worker, o formation.Order, count int64, outcome Outcome) {
	was := w.server
	w.takeAnswer(o, count, outcome, time.Now())
	k.moved(was, w.server)
	if o.Operation == formation.Join && outcome == Rejected && k.epoch > 0 {
		// The worker may have seen a higher epoch in a group that it has left.
		k.epoch = max(k.epoch, o.Epoch+epochGap)
	}
	if f, ok := k.forming[o.Group]; ok && o.Operation == formation.Join && outcome != Rejected {
		f.JoinOrdered[o.Worker] = true
	}
	if o.Operation == formation.Open && outcome == Begun {
		if at, ok := k.lostAt[formation.ModelOf(o.Group)]; ok {
			delete(k.lostAt, formation.ModelOf(o.Group))
			k.Metrics.GroupRepairTime.Observe(time.Since(at).Seconds())
			k.Log.Info("group replaced", telemetry.Fields{"group": o.Group, "ms": time.Since(at).Milliseconds()})
		}
	}
}

// call makes a question or an order and returns what takes its result in.
type call func() func()

// run makes calls side by side and takes their results in. It does not wait long
// for workers that don't answer; their results are taken in by a later step.
func (k *Keeper) run(ctx context.Context, calls []call) {
	if k.results == nil {
		k.results = make(chan func())
	}
	for _, c := range calls {
		k.calls.Go(func() error {
			take := c()
			select {
			case k.results <- take:
			case <-ctx.Done():
			}
			return nil
		})
	}
	patience := time.NewTimer(cmp.Or(k.patience, callPatience))
	defer patience.Stop()
	for range calls {
		select {
		case take := <-k.results:
			k.take(take)
		case <-patience.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) take(result func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	result()
}

// collect takes in the results that have come since the last step.
func (k *Keeper) collect() {
	for {
		select {
		case take := <-k.results:
			k.take(take)
		default:
			return
		}
	}
}
