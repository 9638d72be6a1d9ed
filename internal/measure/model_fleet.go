package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/route"
)

// Delays and rates of the simulated deployment.
const (
	delayInside        = 500 * time.Microsecond
	delayBetween       = 1500 * time.Microsecond
	reportInterval     = 500 * time.Millisecond
	statementInterval  = 250 * time.Millisecond
	drainDelay         = time.Second
	lossDetectionDelay = 2 * time.Second
	returnRampTime     = 20 * time.Second
	initialRamp        = 0.1
	cacheEventsLost    = 0.03
)

// modelPolicy is a routing and limit policy that runs of the model compare.
type modelPolicy struct {
	name         string
	roundRobin   bool // with static shares; otherwise shares with loans
	noAffinity   bool
	fifo         bool // one queue for all client accounts
	noRamp       bool // a cold backend server gets its full limit
	bootIDOnly   bool // a cold start is detected only by a new boot ID
	reportOnly   bool // a cold start is not detected by latency
	latencyAlone bool // a slow server counts as cold without a check of its state
	loadBound    float64
}

var (
	plainPolicy   = modelPolicy{name: "round robin, static shares", roundRobin: true, fifo: true}
	productPolicy = modelPolicy{name: "chicorystall"}
)

// modelSize is the size of a deployment.
type modelSize struct {
	name    string
	entries []int // per data centre
	groups  []int
}

var (
	sixteenGroups = modelSize{name: "3 DCs, 9 entries, 16 groups of 4", entries: []int{3, 3, 3}, groups: []int{6, 5, 5}}
	eightGroups   = modelSize{name: "3 DCs, 8 entries, 8 groups of 8", entries: []int{3, 3, 2}, groups: []int{3, 3, 2}}
)

type modelDataCentre struct {
	name        string
	drained     bool
	lost        bool
	lostAt      time.Duration
	returnedAt  time.Duration
	epoch       int64
	entries     []*modelEntry
	servers     []*modelServer
	freeSlots   int // from the last summary
	work        time.Duration
	freeSlotsAt time.Duration
}

// seemsReachable reports whether other data centres consider this one reachable,
// which they do for a time after its loss.
func (dc *modelDataCentre) seemsReachable(now time.Duration) bool {
	return !dc.lost || now < dc.lostAt+lossDetectionDelay
}

func (dc *modelDataCentre) ramp(now time.Duration) float64 {
	if dc.returnedAt == 0 {
		return 1
	}
	return min(initialRamp+float64(now-dc.returnedAt)/float64(returnRampTime), 1)
}

// modelFleet is a simulated deployment under one policy.
type modelFleet struct {
	clock   *modelClock
	rng     *rand.Rand
	policy  modelPolicy
	dcs     []*modelDataCentre
	servers []*modelServer
	load    *modelLoad
	jobs    []*modelJob
	boots   int
}

func newModelFleet(seed uint64, size modelSize, policy modelPolicy) *modelFleet {
	f := &modelFleet{clock: &modelClock{}, rng: newRand(seed), policy: policy, load: newModelLoad(seed)}
	for i := range size.entries {
		dc := &modelDataCentre{name: fmt.Sprint("dc", i)}
		f.dcs = append(f.dcs, dc)
		for j := range size.groups[i] {
			s := newModelServer(f.clock, fmt.Sprintf("%s-g%d", dc.name, j), dc.name)
			dc.servers = append(dc.servers, s)
			f.servers = append(f.servers, s)
		}
		for range size.entries[i] {
			dc.entries = append(dc.entries, &modelEntry{})
		}
	}
	for _, dc := range f.dcs {
		f.startEntries(dc)
		f.publishSummary(dc)
		f.clock.every(reportInterval, func() bool { f.publishSummary(dc); return true })
	}
	for _, s := range f.servers {
		f.clock.every(reportInterval, func() bool { f.report(s); return true })
	}
	f.clock.every(statementInterval, func() bool { f.exchange(); return true })
	return f
}

// startEntries replaces the entry instances of a data centre with new processes.
func (f *modelFleet) startEntries(dc *modelDataCentre) {
	table := limit.Table{}
	for i := range dc.entries {
		f.boots++
		dc.entries[i] = newModelEntry(f, dc, limit.Member{Name: fmt.Sprint(dc.name, "-e", i), Boot: fmt.Sprint(f.boots)})
		table.Members = append(table.Members, dc.entries[i].ledger.Self)
	}
	dc.epoch++
	table.Epoch = dc.epoch
	for _, e := range dc.entries {
		e.ledger.SetLimits(f.limits(dc))
		e.ledger.SetTable(table)
		for _, s := range dc.servers {
			e.connect(s)
		}
	}
	for range 2 {
		for _, a := range dc.entries {
			for _, b := range dc.entries {
				if a != b {
					b.ledger.Reconcile(a.ledger.Statement(b.ledger.Self))
				}
			}
		}
	}
}

func (f *modelFleet) limits(dc *modelDataCentre) limit.Limits {
	l := limit.Limits{Version: 1, Backends: make(map[string]limit.Limit)}
	cold := serverColdRequests
	if f.policy.noRamp {
		cold = serverBatch
	}
	for _, s := range dc.servers {
		l.Backends[s.name] = limit.Limit{InFlight: serverBatch, Tokens: serverKVTokens * 9 / 10, ColdInFlight: cold}
	}
	return l
}

// exchange sends statements between the entry instances of each data centre.
func (f *modelFleet) exchange() {
	for _, dc := range f.dcs {
		if dc.lost {
			continue
		}
		for _, from := range dc.entries {
			from.send(from.ledger.Tick())
			for _, to := range dc.entries {
				if from == to {
					continue
				}
				s := from.ledger.Statement(to.ledger.Self)
				f.clock.after(delayInside, func() { to.send(to.ledger.Reconcile(s)) })
			}
			from.serveQueue()
		}
	}
}

// report sends a server's load report and cache events to the entry instances of
// its data centre, with a random delay; some cache events are lost.
func (f *modelFleet) report(s *modelServer) {
	if !s.up {
		return
	}
	r := modelReport{at: f.clock.now, requests: s.requests(), warm: s.maxRequests() == serverBatch, boot: s.bootID(), pending: s.pending(), speed: s.speed()}
	s.events++
	ev := route.Event{Boot: s.bootID(), Seq: s.events, Stored: s.stored, Removed: s.removed}
	s.stored, s.removed = nil, nil
	for _, e := range f.dc(s.dataCentre).entries {
		delay := 100*time.Millisecond + time.Duration(f.rng.Int64N(int64(400*time.Millisecond)))
		lost := f.rng.Float64() < cacheEventsLost
		f.clock.after(delay, func() { e.applyReport(s, r, ev, lost) })
	}
}

// publishSummary sends the free slots and the pending work of the data centre to
// the others.
func (f *modelFleet) publishSummary(dc *modelDataCentre) {
	if dc.lost {
		return
	}
	freeSlots, up := 0, 0
	var work time.Duration
	for _, s := range dc.servers {
		if s.up {
			up++
			freeSlots += max(s.maxRequests()-s.requests(), 0)
			work += time.Duration(s.pending()) * time.Second / time.Duration(s.speed())
		}
	}
	at := f.clock.now
	f.clock.after(reportInterval/2, func() { dc.freeSlots, dc.freeSlotsAt, dc.work = freeSlots, at, work/time.Duration(max(up, 1)) })
}

func (f *modelFleet) dc(name string) *modelDataCentre {
	for _, dc := range f.dcs {
		if dc.name == name {
			return dc
		}
	}
	return nil
}

// drain takes a data centre out of service by an operators' command, which takes
// effect everywhere after drainDelay.
func (f *modelFleet) drain(dc *modelDataCentre) {
	f.clock.after(drainDelay, func() { dc.drained = true })
}

func (f *modelFleet) undrain(dc *modelDataCentre) {
	f.clock.after(drainDelay, func() {
		dc.drained = false
		dc.returnedAt = f.clock.now
	})
}

// crashDataCentre stops all processes of a data centre without notice.
func (f *modelFleet) crashDataCentre(dc *modelDataCentre) {
	dc.lost, dc.lostAt = true, f.clock.now
	for _, s := range dc.servers {
		s.stop()
	}
	for _, e := range dc.entries {
		e.crash()
	}
}

// restoreDataCentre brings a lost data centre back with new entry instances and
// cold servers.
func (f *modelFleet) restoreDataCentre(dc *modelDataCentre) {
	dc.lost = false
	dc.returnedAt = f.clock.now
	for _, s := range dc.servers {
		s.start()
	}
	f.startEntries(dc)
}
