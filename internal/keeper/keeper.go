package keeper

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

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
	// nothing points to a loss: streams that stand still do, and an entry in the
	// platform's list that lapses.
	memberInterval = 3 * time.Second
	// reportLag is how much older than its answer a report may be where engines
	// name no longer time. Entries in the platform's list are written at once when
	// a group's state changes.
	reportLag = 350 * time.Millisecond
	// wayTime is added to what engines name for the way of a question and its answer.
	wayTime = 150 * time.Millisecond
	// settleMargin is how long after an order's answer, beside a report's lag, the
	// worker's reports may still be older than the order.
	settleMargin = 150 * time.Millisecond
	// epochGap is more than a keeper names between two reports of the workers.
	epochGap = 1000
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
	// headPatience is how long a head is silent before its members leave it. The
	// other instances ask it meanwhile.
	headPatience = time.Second
	// unlistedPatience is how long a group's head may be missing in the platform's
	// list; entries that lapsed with the platform are back in that time.
	unlistedPatience = 2500 * time.Millisecond
	// callPatience is how long a step waits for answers; workers that serve answer
	// within some milliseconds.
	callPatience = 30 * time.Millisecond
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
	// HeadStalled reports whether instances see a head's streams stand still.
	HeadStalled func(id string) bool
	// Utilization returns the part of a model's places that is taken, 0 to 1.
	Utilization func(model string) float64
	// HeadResponding reports whether an instance has heard from a head a moment ago.
	HeadResponding func(id string) bool
	// Serving reports whether clients have sent requests.
	Serving func() bool
	// Report asks a worker for its report.
	Report func(ctx context.Context, known roster.Server) (roster.Server, error)
	// OnWorkerEnded is nil or told of a worker at whose address another one answers.
	OnWorkerEnded func(worker roster.Server)
	// Order sends an order that holds only if the worker has begun as many orders as count says.
	Order func(ctx context.Context, to roster.Server, o formation.Order, count int64) (Outcome, error)

	patience time.Duration // of a step for answers; 0 means callPatience

	decide func(formation.Input) formation.Decision // nil means formation.Decide
	name   func(model string) string                // names a new group; nil means at random

	calls   errgroup.Group
	results chan func() // take in what calls have brought

	mu        sync.Mutex
	workers   map[string]*worker
	heads     []roster.Server
	published bool           // heads holds what this turn as the keeper has found
	repairing bool           // groups are forming
	list      *roster.Roster // the last that was taken in
	turn      time.Time      // when this instance became the keeper

	told          map[formation.Note]time.Time
	stalled       map[string]bool      // groups whose streams stand still
	headless      map[string]bool      // groups whose head was seen to leave
	headlessSince map[string]time.Time // groups without a known head
	forming       map[string]formation.FormingGroup
	staging       map[string]formation.Staging
	epoch         int64 // the highest that an order has named
	loads         loadBudget
	lostAt        map[string]time.Time // when a model lost a group
}

// Run decides again and again while this instance is the keeper, until the
// context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer k.calls.Wait() // its calls return no errors
	acting := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		k.collect()
		if turn := k.Acting(); turn != acting {
			acting = turn
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
	k.heads, k.published, k.repairing = nil, false, false
	k.forming, k.staging, k.epoch = nil, nil, 0
	for _, w := range k.workers {
		w.known, w.reported, w.failures = false, false, 0
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
	decide := k.decide
	if decide == nil {
		decide = formation.Decide
	}
	d := decide(in)
	k.forming, k.staging, k.epoch = d.Forming, d.Staging, d.Epoch
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

func (k *Keeper) input(now time.Time, engine *catalog.Engine) formation.Input {
	k.mu.Lock()
	defer k.mu.Unlock()
	in := formation.Input{
		Now: now, Engine: engine, Forming: k.forming, Staging: k.staging,
		Closed: k.Closed(), Serving: k.Serving(), Utilization: k.Utilization, NewGroupName: k.name,
		LoadBudget:         k.loads.available(now, engine.LoadRate, k.LoadWindow, k.DataCentres(), k.Serving()),
		Headless:           k.headlessGroups(now),
		MaxConcurrentLoads: max((engine.MaxConcurrentLoads+k.DataCentres()-1)/max(k.DataCentres(), 1), 1),
	}
	if in.NewGroupName == nil {
		in.NewGroupName = newName
	}
	for _, w := range k.workers {
		in.Workers = append(in.Workers, formation.Worker{
			Server: w.server, Lost: w.lost(), OrdersKnown: w.known && w.failures == 0, Cold: now.Before(w.server.ColdUntil), FirstSeen: w.seenAt,
		})
	}
	if in.Epoch = k.epoch; in.Epoch == 0 {
		// Orders of an earlier keeper may be under way with epochs that no worker shows yet.
		for _, w := range in.Workers {
			in.Epoch = max(in.Epoch, w.Membership.Epoch+epochGap)
		}
	}
	slices.SortFunc(in.Workers, func(a, b formation.Worker) int { return strings.Compare(a.ID, b.ID) })
	return in
}

func newName(model string) string {
	const suffixBytes = 6
	b := make([]byte, suffixBytes)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return formation.GroupName(model, hex.EncodeToString(b))
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
	k.heads, k.published, k.repairing = heads, true, len(k.forming) > 0
}

// Repairing reports whether groups are forming, which goes on with the next
// change of an entry in the platform's list.
func (k *Keeper) Repairing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.repairing
}

// Heads returns the open heads of the data centre as the keeper knows them. It
// knows none before all workers have reported to it; until then, and at other
// instances, the platform's list goes.
func (k *Keeper) Heads() (heads []roster.Server, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.heads), k.published
}
