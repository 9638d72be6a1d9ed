package keeper

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/presence"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// stepInterval is the time between two decisions.
	stepInterval = 50 * time.Millisecond
	// probeTimeout is the timeout for a worker's report, several times a round trip
	// plus a worker's usual response time.
	probeTimeout = 200 * time.Millisecond
	// connectDelay is the time without a report after which the keeper checks whether the
	// worker accepts connections.
	connectDelay = 60 * time.Millisecond
	// orderTimeout is the timeout for an order. An order that timed out may still be
	// carried out.
	orderTimeout = 600 * time.Millisecond
	// listTimeout is how long a new keeper waits for a current copy of the platform's
	// list before it uses an older copy together with the workers' reports.
	listTimeout = 1500 * time.Millisecond
	// memberProbeInterval is how often the members of a group are probed while there
	// is no sign of a loss. Stalled streams or an entry that expired from the
	// platform's list are such signs.
	memberProbeInterval = 3 * time.Second
	// minReportLag is the lower bound for the assumed lag of a report: the state in a
	// report may be this much older than the response that carries it, or more if
	// the engine configuration declares a larger lag. Entries in the platform's list
	// do not lag in this way: they are written as soon as a group's state changes.
	minReportLag = 350 * time.Millisecond
	// roundTripMargin is added to the declared report lag for the round trip of the
	// probe.
	roundTripMargin = 150 * time.Millisecond
	// staleReportMargin is added to the report lag: for that time after the answer to
	// an order, the worker's reports may still show the state before the order.
	staleReportMargin = 150 * time.Millisecond
	// noteInterval is the minimum time between two log lines for the same event of a
	// group.
	noteInterval   = 5 * time.Second
	maxRecentNotes = 256 // notes remembered to enforce noteInterval
	// endedProbeInterval is how often a worker that counts as ended is probed.
	endedProbeInterval = time.Second
	// unlistedRetention is how long an instance that is not the keeper remembers a
	// worker that is no longer listed; no worker keeps serving for that long.
	unlistedRetention = 30 * time.Second
	// unlistedHeadTimeout is how long a group may have no known head before its
	// members leave it. Entries that expired during an outage of the platform are
	// written again within that time.
	unlistedHeadTimeout = 2500 * time.Millisecond
	// defaultAnswerTimeout is how long a step waits for answers; workers in service
	// answer within a few milliseconds.
	defaultAnswerTimeout = 30 * time.Millisecond
)

// Outcome is the result of sending an order to a worker.
type Outcome int

// The possible outcomes of an order.
const (
	Unknown  Outcome = iota // no answer: the order may still be carried out
	Begun                   // the worker has begun to carry it out
	Done                    // carried out, or already in effect
	Rejected                // the order does not apply to the worker's state
	Outdated                // the worker has seen a higher epoch
)

// Keeper manages the groups of a data centre while its instance is the data
// centre's keeper. The exported fields must be set before Run, except where a
// field's comment allows nil; the zero values of the others are ready to use.
type Keeper struct {
	DataCentre string
	LoadWindow time.Duration // window over which the rate of loads is limited
	Log        *telemetry.Log
	Metrics    *telemetry.Metrics

	// Acting reports whether this instance is currently the data centre's keeper.
	Acting func() bool
	// RestInterval returns how often an instance that is not the keeper checks whether it
	// has become that; nil means stepInterval.
	RestInterval func() time.Duration
	// List returns the platform's list of workers and when it was read. A worker that
	// is not listed has either ended or cannot reach the platform.
	List func() (*roster.Roster, time.Time)
	// Engine returns the service of the data centre's model workers and its engine
	// configuration. The engine is nil if there are no model workers.
	Engine func() (service string, engine *catalog.Engine)
	// TakenOut reports whether the data centre has been taken out of service.
	TakenOut func() bool
	// DataCentres returns the number of data centres that share the store of weights.
	DataCentres func() int
	// HeadStalled reports whether this instance or a peer observes that the streams of a
	// head have stalled.
	HeadStalled func(id string) bool
	// Utilization returns the fraction of a model's slots that is in use, 0 to 1.
	Utilization func(model string) float64
	// HeadResponding reports whether this instance or a peer has recently received events or
	// a report from a head.
	HeadResponding func(id string) bool
	// Serving reports whether clients have started to send requests.
	Serving func() bool
	// Report requests a worker's report. The report takes the fields that it does not
	// contain from known.
	Report func(ctx context.Context, known roster.Server) (roster.Server, error)
	// Connect opens a connection to a worker. It may be nil.
	Connect func(ctx context.Context, worker roster.Server) error
	// OnWorkerEnded is called with a worker that has ended, since another worker answered at its
	// address. It may be nil.
	OnWorkerEnded func(worker roster.Server)
	// Order sends an order. The worker accepts it only if the number of orders that it
	// has begun equals count.
	Order func(ctx context.Context, to roster.Server, o formation.Order, count int64) (Outcome, error)

	// Grant takes a number from the store, above all numbers that it gave for the data
	// centre before. Nil means that there is no store.
	Grant func(ctx context.Context) (int64, error)
	// NewestGrant returns the number that Grant gave last for the data centre, to this
	// keeper or another one.
	NewestGrant func(ctx context.Context) (int64, error)

	answerTimeout time.Duration // how long a step waits for answers; 0 means defaultAnswerTimeout

	decide       func(formation.Input) formation.Decision // nil means formation.Decide
	newGroupName func(model string) string                // nil means randomGroupName

	calls         errgroup.Group
	results       chan func() // functions that apply the results of calls
	grantOutdated atomic.Bool // the store may have lost the record of the grant
	grants        chan func() // functions that apply the results of requests for grants

	mu             sync.Mutex
	workers        map[string]*worker
	heads          []roster.Server
	headsPublished bool           // heads has been set during this term as keeper
	usage          usage          // of the data centre's workers, as last published
	repairing      bool           // groups are forming
	lastList       *roster.Roster // the list that was merged last
	termStart      time.Time      // when Acting last changed: as keeper, the start of its term

	noteLoggedAt  map[formation.Note]time.Time
	usageLoggedAt time.Time
	stalledGroups map[string]bool         // groups whose streams have stalled
	groupHeads    map[string]string       // heads by group
	departed      map[string]map[int]bool // ranks that were observed to leave a group or to end, by group
	headlessSince map[string]time.Time    // when a group was first found to have no known head
	forming       map[string]formation.FormingGroup
	staging       map[string]formation.Staging
	epoch         int64 // the highest epoch that an order has carried
	tenure        tenure
	rivalSeenAt   time.Time // when another keeper was last found to have a newer grant
	domainSizes   map[string]int
	loadBudget    loadBudget
	groupLostAt   map[string]time.Time // when a group of a model last lost a member, by model
}

// Run makes a decision at each step interval while this instance is the keeper,
// until the context is cancelled.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	defer k.calls.Wait() // the calls never return errors
	acting, interval := false, stepInterval
	for {
		next := stepInterval
		if !acting && k.RestInterval != nil {
			next = k.RestInterval()
		}
		if next != interval {
			interval = next
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		k.applyPendingResults()
		if actingNow := k.Acting(); actingNow != acting {
			acting = actingNow
			k.Log.Info("keeper", telemetry.Fields{"acting": acting, "data_centre": k.DataCentre})
			if !acting {
				k.reset()
			}
			k.termStart = time.Now()
		}
		if acting {
			k.step(ctx)
			continue
		}
		// Instances that are not the keeper also merge the list, so that an instance
		// that becomes the keeper knows about a head that left the list just before.
		if service, _ := k.Engine(); service != "" {
			k.mergeList(time.Now(), service, false)
		}
	}
}

// reset discards the state of a term as keeper; the next term starts from reports.
func (k *Keeper) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heads, k.headsPublished, k.repairing, k.usage = nil, false, false, usage{}
	k.forming, k.staging, k.epoch, k.domainSizes, k.tenure = nil, nil, 0, nil, tenure{}
	for _, w := range k.workers {
		w.consistent, w.reported, w.evidence, w.presence = false, false, presence.Evidence{}, presence.Present
	}
}

func (k *Keeper) step(ctx context.Context) {
	service, engine := k.Engine()
	if engine == nil {
		return
	}
	k.requestGrant(ctx)
	now := time.Now()
	if _, read := k.List(); read.Before(k.termStart) && now.Sub(k.termStart) < listTimeout {
		return
	}
	k.mergeList(now, service, true)
	k.probe(ctx, k.workersToProbe(now))
	if !k.allReported() {
		return
	}
	if !k.hasTerm(time.Now()) {
		k.publishHeads()
		return
	}
	in := k.decisionInput(time.Now(), engine)
	decide := k.decide
	if decide == nil {
		decide = formation.Decide
	}
	d := decide(in)
	k.forming, k.staging, k.epoch, k.domainSizes = d.Forming, d.Staging, d.Epoch, d.DomainSizes
	k.logNotes(d.Notes)
	k.sendOrders(ctx, d.Orders)
	k.publishHeads()
	k.logUsage(engine)
}

// allReported reports whether each worker that is present has been probed and has
// reported since this instance became the keeper. Earlier reports may be stale.
func (k *Keeper) allReported() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.workers {
		if w.isPresent() && w.reportProbedAt.Before(k.termStart) {
			return false
		}
	}
	return true
}

func (k *Keeper) decisionInput(now time.Time, engine *catalog.Engine) formation.Input {
	k.mu.Lock()
	defer k.mu.Unlock()
	in := formation.Input{
		Now: now, Engine: engine, Forming: k.forming, Staging: k.staging, DomainSizes: k.domainSizes,
		TakenOut: k.TakenOut(), Serving: k.Serving(), Utilization: k.Utilization, NewGroupName: k.newGroupName,
		LoadBudget:         k.loadBudget.available(now, engine.LoadRate, k.LoadWindow, k.DataCentres(), k.Serving()),
		Headless:           k.headlessGroups(now),
		Departed:           k.departed,
		MaxConcurrentLoads: max((engine.MaxConcurrentLoads+k.DataCentres()-1)/max(k.DataCentres(), 1), 1),
	}
	if in.NewGroupName == nil {
		in.NewGroupName = randomGroupName
	}
	in.Epoch, in.OpenFrom = k.epoch, k.tenure.openFrom()
	for _, w := range k.workers {
		in.Workers = append(in.Workers, formation.Worker{
			Server: w.server, Presence: w.presence, OrdersKnown: w.consistent && w.evidence.Unanswered == 0, Cold: now.Before(w.server.ColdUntil), FirstSeen: w.firstSeenAt, OrderedEpoch: w.orderedEpoch,
		})
	}
	slices.SortFunc(in.Workers, func(a, b formation.Worker) int { return strings.Compare(a.ID, b.ID) })
	return in
}

func randomGroupName(model string) string {
	const suffixBytes = 6
	b := make([]byte, suffixBytes)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return formation.GroupName(model, hex.EncodeToString(b))
}

func (k *Keeper) logNotes(notes []formation.Note) {
	now := time.Now()
	for _, n := range notes {
		if loggedAt, ok := k.noteLoggedAt[n]; ok && now.Sub(loggedAt) < noteInterval {
			continue
		}
		if k.noteLoggedAt == nil || len(k.noteLoggedAt) > maxRecentNotes {
			k.noteLoggedAt = map[formation.Note]time.Time{}
		}
		k.noteLoggedAt[n] = now
		k.Log.Info("group "+n.Event, telemetry.Fields{"group": n.Group, "model": n.Model, "reason": n.Reason, "detail": n.Detail})
	}
}

// publishHeads updates the open heads that Heads returns.
func (k *Keeper) publishHeads() {
	k.mu.Lock()
	defer k.mu.Unlock()
	standing := map[string]bool{} // groups with a member that does not answer
	for _, w := range k.workers {
		if m := w.server.Membership; m.State != roster.Alone && !w.isPresent() && !k.isResponding(m.Group) {
			standing[m.Group] = true
		}
	}
	var heads, others []roster.Server
	served := map[string]bool{} // models
	for _, w := range k.workers {
		m := w.server.Membership
		if !w.server.IsHead() || m.State != roster.Open || !w.isPresent() || w.server.Draining {
			continue
		}
		if standing[m.Group] {
			others = append(others, w.server)
			continue
		}
		heads = append(heads, w.server)
		served[formation.ModelOf(m.Group)] = true
	}
	for _, h := range others {
		// Requests may wait at a silent group if there is no other.
		if !served[formation.ModelOf(h.Membership.Group)] {
			heads = append(heads, h)
		}
	}
	k.heads, k.headsPublished, k.repairing = heads, true, len(k.forming) > 0
	k.usage = k.countUsage()
}

// Repairing reports whether groups are being formed. The next step of that follows
// the next change of an entry in the platform's list.
func (k *Keeper) Repairing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.repairing
}

// Heads returns the open heads of the data centre as known to the keeper. known is
// false at instances that are not the keeper, and until all workers have reported
// to a new keeper; callers use the platform's list then.
func (k *Keeper) Heads() (heads []roster.Server, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.heads), k.headsPublished
}
