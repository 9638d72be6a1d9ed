package keeper

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// tick is the time between two decisions.
	tick = 50 * time.Millisecond
	// probeTimeout is several times a round trip and a worker's usual answer.
	probeTimeout = 200 * time.Millisecond
	// orderTimeout bounds an order; one without an answer may still be carried out.
	orderTimeout = 600 * time.Millisecond
	// listPatience is how long a new keeper waits for the platform's list before
	// it goes by an older one and the workers' reports.
	listPatience = 1500 * time.Millisecond
	// memberInterval is how often the members of an open group are asked when
	// nothing points to a loss. Entries in the platform's list lapse later.
	memberInterval = 1500 * time.Millisecond
	// settleTime is how long after an order's answer the worker's reports may
	// still be older than the order.
	settleTime = 500 * time.Millisecond
	// reportLag is how much older than its answer a report may be. Entries in the
	// platform's list are written at once when a group's state changes.
	reportLag = 350 * time.Millisecond
	// noteInterval is how often the same event of a group is logged.
	noteInterval = 5 * time.Second
	maxTold      = 256 // notes that are remembered for that
	// lostAfter is how many questions in a row a worker leaves unanswered before
	// it counts as lost.
	lostAfter = 2
	// lostRecheck is how often a lost worker is asked again.
	lostRecheck = time.Second
	// forgetUnlisted is how long an instance that is not the keeper remembers a
	// worker that left the list; none serves on for so long.
	forgetUnlisted = 30 * time.Second
	// breakMargin is added to the time in which groups break.
	breakMargin = 400 * time.Millisecond
	// parallel bounds the questions and orders that are under way.
	parallel = 24
)

// Outcome is a worker's answer to an order.
type Outcome int

// The outcomes.
const (
	Unknown  Outcome = iota // no answer: it may be carried out later
	Begun                   // it has begun
	Done                    // nothing was left to do
	Rejected                // it doesn't fit the worker's state
)

// Keeper looks after the groups of a data centre. The exported fields must be
// set before Run; zero values of its state are ready.
type Keeper struct {
	DataCentre string
	StallTime  time.Duration // after which a silent head can't be open any more
	LoadWindow time.Duration // over which the rate of loads is counted
	Log        *telemetry.Log
	Metrics    *telemetry.Metrics

	// Acting reports whether this instance is the data centre's keeper now.
	Acting func() bool
	// List returns the platform's list and when it was read. A worker that is
	// missing there is gone for certain, or can't reach the platform.
	List func() (*roster.Roster, time.Time)
	// Engine returns the engine of the data centre's model workers and their service.
	Engine func() (service string, engine *catalog.Engine)
	// Closed reports whether the data centre is taken out.
	Closed func() bool
	// DataCentres returns how many data centres share the store of weights.
	DataCentres func() int
	// Stalled reports whether instances see a head's streams stand still.
	Stalled func(id string) bool
	// Use returns the part of a model's places that is taken, 0 to 1.
	Use func(model string) float64
	// Moving reports whether an instance has heard from a head a moment ago.
	Moving func(id string) bool
	// Serving reports whether clients have sent requests.
	Serving func() bool
	// Report asks a worker for its report.
	Report func(ctx context.Context, known roster.Server) (roster.Server, error)
	// Order sends an order that holds only if the worker has begun as many orders as count says.
	Order func(ctx context.Context, to roster.Server, o formation.Order, count int64) (Outcome, error)

	mu        sync.Mutex
	workers   map[string]*worker
	heads     []roster.Server
	published bool           // heads holds what this turn as the keeper has found
	list      *roster.Roster // the last that was taken in
	turn      time.Time      // when this instance became the keeper

	told          map[formation.Note]time.Time
	headless      map[string]bool      // groups whose head was seen to leave
	headlessSince map[string]time.Time // groups without a known head
	forming       map[string]formation.Forming
	staging       map[string]formation.Staging
	loads         loadBudget
	lostAt        map[string]time.Time // when a model lost a group
}

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

// Run decides again and again while this instance is the keeper, until the
// context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	acting := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := k.Acting()
		if now != acting {
			acting = now
			k.Log.Info("keeper", telemetry.Fields{"acting": acting, "data_centre": k.DataCentre})
			if !acting {
				k.reset()
			}
			k.turn = time.Now()
		}
		if acting {
			k.step(ctx)
			continue
		}
		// The list is followed all the while, so that a head that left it just
		// before this instance takes over is known.
		if service, _ := k.Engine(); service != "" {
			k.merge(time.Now(), service, false)
		}
	}
}

// reset forgets what was under way; a later turn starts from reports.
func (k *Keeper) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heads, k.published = nil, false
	k.forming, k.staging = nil, nil
	for _, w := range k.workers {
		w.known, w.failures = false, 0
	}
}

func (k *Keeper) step(ctx context.Context) {
	service, engine := k.Engine()
	if engine == nil {
		return
	}
	now := time.Now()
	if _, read := k.List(); read.Before(k.turn) && now.Sub(k.turn) < listPatience {
		return
	}
	k.merge(now, service, true)
	k.ask(ctx, k.toAsk(now))
	if !k.informed() {
		return
	}
	in := k.input(time.Now(), engine)
	d := formation.Decide(in)
	k.forming, k.staging = d.Forming, d.Staging
	k.tell(d.Notes)
	k.send(ctx, d.Orders)
	k.publish()
}

// informed reports whether each worker has reported since this instance became
// the keeper, or is lost. What was known of them before may be old.
func (k *Keeper) informed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.workers {
		if !w.lost() && w.reportAt.Before(k.turn) {
			return false
		}
	}
	return true
}

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
		if w.listed {
			w.server.Membership, w.known = roster.Membership{}, false
			continue
		}
		delete(k.workers, id)
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
		if !groups[group] {
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
	if w.settling(began) && report.SameLife(w.server) {
		// Reports lag behind; what an order's answer said of the count is newer.
		report.Orders = max(report.Orders, w.server.Orders)
	}
	report.Draining = w.server.Draining
	if w.listed && began.Sub(w.entryAt) < reportLag {
		report.Membership, report.Staged, report.Models = w.server.Membership, w.server.Staged, w.server.Models
	}
	k.replace(w, report)
	w.known, w.reportAt = true, began
}

func (k *Keeper) input(now time.Time, engine *catalog.Engine) formation.Input {
	k.mu.Lock()
	defer k.mu.Unlock()
	in := formation.Input{
		Now: now, Engine: engine, Forming: k.forming, Staging: k.staging,
		Closed: k.Closed(), Serving: k.Serving(), Use: k.Use, NewName: newName,
		MayLoad:  k.loads.available(now, engine.LoadRate, k.LoadWindow, k.DataCentres(), k.Serving()),
		Headless: k.headlessGroups(now),
		AtOnce:   max((engine.LoadsAtOnce+k.DataCentres()-1)/max(k.DataCentres(), 1), 1),
	}
	for _, w := range k.workers {
		in.Workers = append(in.Workers, formation.Worker{
			Server: w.server, Lost: w.lost(), Known: w.known && w.failures == 0, Cold: now.Before(w.server.ColdUntil), Since: w.seenAt,
		})
	}
	slices.SortFunc(in.Workers, func(a, b formation.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return in
}

func newName(model string) string {
	const suffixBytes = 6
	b := make([]byte, suffixBytes)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return formation.Name(model, hex.EncodeToString(b))
}

func (k *Keeper) tell(notes []formation.Note) {
	now := time.Now()
	for _, n := range notes {
		if told, ok := k.told[n]; ok && now.Sub(told) < noteInterval {
			continue
		}
		if k.told == nil || len(k.told) > maxTold {
			k.told = map[formation.Note]time.Time{}
		}
		k.told[n] = now
		k.Log.Info("group "+n.Event, telemetry.Fields{"group": n.Group, "model": n.Model, "reason": n.Reason, "detail": n.Detail})
	}
}

// send sends the orders side by side and waits for their answers.
func (k *Keeper) send(ctx context.Context, orders []formation.Order) {
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, o := range orders {
		group.Go(func() error {
			k.sendOne(ctx, o)
			return nil
		})
	}
	_ = group.Wait() // sendOne records its failures with the worker
}

func (k *Keeper) sendOne(ctx context.Context, o formation.Order) {
	k.mu.Lock()
	w := k.workers[o.Worker]
	if w == nil || !w.known {
		k.mu.Unlock()
		return
	}
	if w.settling(time.Now()) && w.ordered.Operation == o.Operation && w.ordered.Group == o.Group {
		k.mu.Unlock()
		return
	}
	server, count := w.server, w.server.Orders
	if o.Loads {
		k.loads.spend(time.Now(), 1)
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := k.Order(ctx, server, o, count)
	fields := telemetry.Fields{
		"worker": o.Worker, "operation": o.Operation.String(), "group": o.Group, "epoch": o.Epoch, "model": o.Model,
		"count": count, "reason": o.Reason, "outcome": outcome.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	k.Log.Info("order", fields)
	k.Metrics.Orders.WithLabelValues(o.Operation.String(), outcome.String()).Inc()
	k.mu.Lock()
	defer k.mu.Unlock()
	w.ordered, w.answered = o, time.Now()
	if f, ok := k.forming[o.Group]; ok && o.Operation == formation.Join && outcome != Rejected {
		f.Joined[o.Worker] = true
	}
	switch outcome {
	case Begun:
		w.server.Orders = max(w.server.Orders, count+1)
	case Unknown, Rejected:
		// The count is taken from the next report as it is.
		w.answered, w.known = time.Time{}, false
	}
	if o.Operation == formation.Open && outcome == Begun {
		if at, ok := k.lostAt[formation.ModelOf(o.Group)]; ok {
			delete(k.lostAt, formation.ModelOf(o.Group))
			k.Metrics.Repair.Observe(time.Since(at).Seconds())
			k.Log.Info("group replaced", telemetry.Fields{"group": o.Group, "ms": time.Since(at).Milliseconds()})
		}
	}
}

// publish notes the heads that are open.
func (k *Keeper) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	var heads []roster.Server
	for _, w := range k.workers {
		if w.server.IsHead() && w.server.Membership.State == roster.Open && !w.lost() && !w.server.Draining {
			heads = append(heads, w.server)
		}
	}
	k.heads, k.published = heads, true
}

// Heads returns the open heads of the data centre as the keeper knows them. It
// knows none before all workers have reported to it; until then, and at other
// instances, the platform's list goes.
func (k *Keeper) Heads() (heads []roster.Server, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.heads), k.published
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
