package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/route"
)

// Delays of the modelled deployment.
const (
	delayInside     = 500 * time.Microsecond
	delayBetween    = 1500 * time.Microsecond
	reportEvery     = 500 * time.Millisecond
	statementEvery  = 250 * time.Millisecond
	noticeDrain     = time.Second
	noticeLoss      = 2 * time.Second
	returnRamp      = 20 * time.Second
	firstRamp       = 0.1
	cacheEventsLost = 0.03
)

// modelPolicy is what a run of the model compares.
type modelPolicy struct {
	name         string
	roundRobin   bool // with static shares; otherwise shares that are lent
	noAffinity   bool
	fifo         bool // one queue for all client accounts
	noRamp       bool // a cold backend server is given its whole limit
	noNotice     bool // cold start is only seen by a new boot ID
	reportOnly   bool // cold start is not seen by latency
	latencyAlone bool // a slow server counts as cold without asking it
	bound        float64
}

var (
	plainPolicy   = modelPolicy{name: "round robin, static shares", roundRobin: true, fifo: true}
	productPolicy = modelPolicy{name: "chicorystall"}
)

// modelSize is a deployment.
type modelSize struct {
	name    string
	entries []int // of each data centre
	groups  []int
}

var (
	librarySize = modelSize{name: "3 DCs, 9 entries, 16 groups of 4", entries: []int{3, 3, 3}, groups: []int{6, 5, 5}}
	atelierSize = modelSize{name: "3 DCs, 8 entries, 8 groups of 8", entries: []int{3, 3, 2}, groups: []int{3, 3, 2}}
)

type modelDC struct {
	name       string
	drained    bool
	lost       bool
	lostAt     time.Duration
	returnedAt time.Duration
	epoch      int64
	entries    []*modelEntry
	servers    []*modelServer
	room       int // last summary
	work       time.Duration
	roomAt     time.Duration
}

// seemsOpen reports whether others still believe that the data centre answers.
func (dc *modelDC) seemsOpen(now time.Duration) bool {
	return !dc.lost || now < dc.lostAt+noticeLoss
}

func (dc *modelDC) ramp(now time.Duration) float64 {
	if dc.returnedAt == 0 {
		return 1
	}
	return min(firstRamp+float64(now-dc.returnedAt)/float64(returnRamp), 1)
}

// modelFleet is a deployment under one policy.
type modelFleet struct {
	clock   *modelClock
	rng     *rand.Rand
	policy  modelPolicy
	dcs     []*modelDC
	servers []*modelServer
	load    *modelLoad
	jobs    []*modelJob
	boots   int
}

func newModelFleet(seed uint64, size modelSize, policy modelPolicy) *modelFleet {
	f := &modelFleet{clock: &modelClock{}, rng: newRand(seed), policy: policy, load: newModelLoad(seed)}
	for i := range size.entries {
		dc := &modelDC{name: fmt.Sprint("dc", i)}
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
		f.summarise(dc)
		f.clock.every(reportEvery, func() bool { f.summarise(dc); return true })
	}
	for _, s := range f.servers {
		f.clock.every(reportEvery, func() bool { f.report(s); return true })
	}
	f.clock.every(statementEvery, func() bool { f.exchange(); return true })
	return f
}

// startEntries replaces the entry instances of a data centre by new processes.
func (f *modelFleet) startEntries(dc *modelDC) {
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

func (f *modelFleet) limits(dc *modelDC) limit.Limits {
	l := limit.Limits{Version: 1, Backends: make(map[string]limit.Limit)}
	cold := serverColdBears
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
			from.pump()
		}
	}
}

// report sends a server's load report and cache events, late and with gaps.
func (f *modelFleet) report(s *modelServer) {
	if !s.up {
		return
	}
	r := modelReport{at: f.clock.now, requests: s.holds(), warm: s.bears() == serverBatch, boot: s.bootID(), pending: s.pending(), speed: s.speed()}
	s.events++
	ev := route.Event{Boot: s.bootID(), Seq: s.events, Stored: s.stored, Removed: s.removed}
	s.stored, s.removed = nil, nil
	for _, e := range f.dc(s.dataCentre).entries {
		lag := 100*time.Millisecond + time.Duration(f.rng.Int64N(int64(400*time.Millisecond)))
		lost := f.rng.Float64() < cacheEventsLost
		f.clock.after(lag, func() { e.learn(s, r, ev, lost) })
	}
}

// summarise tells the neighbours how much room the data centre has.
func (f *modelFleet) summarise(dc *modelDC) {
	if dc.lost {
		return
	}
	room, up := 0, 0
	var work time.Duration
	for _, s := range dc.servers {
		if s.up {
			up++
			room += max(s.bears()-s.holds(), 0)
			work += time.Duration(s.pending()) * time.Second / time.Duration(s.speed())
		}
	}
	at := f.clock.now
	f.clock.after(reportEvery/2, func() { dc.room, dc.roomAt, dc.work = room, at, work/time.Duration(max(up, 1)) })
}

func (f *modelFleet) dc(name string) *modelDC {
	for _, dc := range f.dcs {
		if dc.name == name {
			return dc
		}
	}
	return nil
}

// drain takes a data centre out by the operators' command; everyone knows a
// moment later.
func (f *modelFleet) drain(dc *modelDC) {
	f.clock.after(noticeDrain, func() { dc.drained = true })
}

func (f *modelFleet) undrain(dc *modelDC) {
	f.clock.after(noticeDrain, func() {
		dc.drained = false
		dc.returnedAt = f.clock.now
	})
}

// lose ends everything in a data centre without notice.
func (f *modelFleet) lose(dc *modelDC) {
	dc.lost, dc.lostAt = true, f.clock.now
	for _, s := range dc.servers {
		s.stop()
	}
	for _, e := range dc.entries {
		e.die()
	}
}

// regain brings a lost data centre back with new processes and cold servers.
func (f *modelFleet) regain(dc *modelDC) {
	dc.lost = false
	dc.returnedAt = f.clock.now
	for _, s := range dc.servers {
		s.start()
	}
	f.startEntries(dc)
}
