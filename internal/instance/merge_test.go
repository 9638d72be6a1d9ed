package instance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/oracle"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/position"
)

const (
	stepTime = 100 * time.Millisecond
	// drainBound is how long after its removal a worker may still get requests.
	drainBound = 2 * time.Second
	// maxRelistDelay is the time within which a worker whose entry lapsed writes it
	// again.
	maxRelistDelay = 1900 * time.Millisecond
)

// simulatedWorker is the true state of a worker.
type simulatedWorker struct {
	id, dataCentre string
	listed         bool
	left           bool              // removed or draining by its owner
	leftAt         time.Duration     // when the store acknowledged its last record
	leftOffset     position.Position // offset of that record
	relistAt       time.Duration     // when it writes its entry again after a lapse; 0 means never
	learntAt       time.Duration     // when the instance could know that it left; 0 means not yet
}

func (sw *simulatedWorker) learn(at time.Duration) {
	if sw.learntAt == 0 || at < sw.learntAt {
		sw.learntAt = at
	}
}

// reader is the state of an instance that reads the store.
type reader struct {
	next           position.Position // offset of the next read; 0 before the first
	followedFrom   position.Position // offset from which on it has followed the store
	readAt         time.Duration
	disconnected   bool
	failed         bool
	noDigestsUntil time.Duration // end of the time in which it sends no digests
}

// mergeWorld simulates a store, its workers, two keepers, and the tested instance,
// which merges its own reads with the keepers' digests. rapid draws when reads and
// digests arrive.
type mergeWorld struct {
	*rapid.T
	*testBed
	disabled       listing.Guard
	workers        []*simulatedWorker
	records        []Record // the store's records; the index is the offset
	downAt         time.Duration
	isDown         bool
	backAt         time.Duration     // end of the store's last outage in which entries lapsed
	lapsed         int               // number of entries that lapsed in it
	settledEnd     position.Position // end of records when most of them had been written again
	lastAnswer     time.Duration     // last answer of the store, to any instance, that this instance knows about
	graceEnd       time.Duration     // time until which removals that it reads may be lapses
	keepers        map[string]*reader
	own            reader
	suspendedSteps int              // remaining steps of the instance's suspension
	deliveries     []delivery       // digests in transit
	lastDelivered  map[string]int64 // number of the last delivered digest, by keeper
	sentCount      int64
	pendingRead    *batch // an answer of the store in transit
	pendingDue     time.Duration
}

// delivery is a digest in transit from a keeper to the instance.
type delivery struct {
	neighbour.Digest
	due    time.Duration
	number int64
}

func newMergeWorld(t *rapid.T, disabled listing.Guard) *mergeWorld {
	w := &mergeWorld{T: t, disabled: disabled, keepers: map[string]*reader{}, lastDelivered: map[string]int64{}}
	w.start(time.Hour)
	w.append("", "") // so that offsets of entries begin with 1
	for _, dataCentre := range []string{"a", "b"} {
		w.keepers[dataCentre] = &reader{}
		for n := range 6 {
			worker := &simulatedWorker{id: fmt.Sprintf("%s-%d", dataCentre, n), dataCentre: dataCentre, listed: true}
			w.workers = append(w.workers, worker)
			w.append(worker.id, dataCentre)
		}
	}
	return w
}

// start restarts the instance, which loses all of its state.
func (w *mergeWorld) start(now time.Duration) {
	w.testBed = newTestBed(w.Context())
	w.testBed.now = now
	w.disableGuards(w.disabled)
	w.own, w.pendingRead, w.lastAnswer, w.graceEnd = reader{disconnected: w.own.disconnected}, nil, now, 0
	for _, worker := range w.workers {
		worker.learntAt = 0
	}
}

func (w *mergeWorld) append(id, value string) position.Position {
	w.records = append(w.records, Record{Key: id, Value: []byte(value), Offset: position.Position(len(w.records))})
	return position.Position(len(w.records) - 1)
}

// newest returns the newest record of each key before an offset.
func (w *mergeWorld) newest(end position.Position) map[string]Record {
	records := map[string]Record{}
	for _, r := range w.records[1:end] {
		records[r.Key] = r
	}
	return records
}

// chance draws whether an event happens, about once in n calls.
func (w *mergeWorld) chance(n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(w.T, label) == n-1
}

func (w *mergeWorld) duration(limit time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/stepTime)).Draw(w.T, label)) * stepTime
}

// injectFaults removes workers, disconnects instances and the store, restarts
// instances, and suspends the tested one.
func (w *mergeWorld) injectFaults() {
	leftCount := 0
	for _, worker := range w.workers {
		if worker.left {
			leftCount++
		}
	}
	// Fewer than half leave, so that their removals can't be taken for lapses.
	if worker := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(w.T, "worker")]; !w.isDown && worker.listed && !worker.left && leftCount < 3 && w.chance(15, "leaves") {
		value := ""
		if w.chance(3, "draining") {
			value = worker.dataCentre + "!"
		}
		worker.left, worker.leftAt, worker.listed, worker.leftOffset = true, w.now, false, w.append(worker.id, value)
	}
	if w.chance(60, "outage starts or ends") {
		w.setStoreDown(!w.isDown)
	}
	if w.chance(20, "own connection changes") {
		w.own.disconnected = !w.own.disconnected
	}
	for _, dataCentre := range []string{"a", "b"} {
		k := w.keepers[dataCentre]
		if w.chance(25, "keeper's connection changes") {
			k.disconnected = !k.disconnected
		}
		if w.chance(100, "keeper restarts") {
			*k = reader{disconnected: k.disconnected, noDigestsUntil: w.now + discoveryTime}
		}
	}
	switch {
	case w.chance(150, "restart"):
		w.start(w.now)
	case w.chance(80, "suspension"):
		w.suspendedSteps = rapid.IntRange(1, 40).Draw(w.T, "suspended steps")
	}
}

// setStoreDown starts or ends an outage of the store for all instances. If it lasted
// for three heartbeats, all entries have lapsed, and their workers write them again
// within maxRelistDelay.
func (w *mergeWorld) setStoreDown(down bool) {
	if down == w.isDown {
		return
	}
	w.isDown = down
	if down {
		w.downAt = w.now
		return
	}
	if w.now-w.downAt < 3*testHeartbeat {
		return
	}
	w.backAt, w.lapsed, w.settledEnd = w.now, 0, math.MaxInt64
	for _, worker := range w.workers {
		if worker.listed {
			w.append(worker.id, "")
			w.lapsed++
			worker.listed, worker.relistAt = false, w.now+stepTime+w.duration(maxRelistDelay-stepTime, "relist delay")
		}
	}
}

// relistWorkers writes the entries that are due after a lapse.
func (w *mergeWorld) relistWorkers() {
	missing := 0
	for _, worker := range w.workers {
		switch {
		case worker.relistAt > 0 && !w.isDown && w.now >= worker.relistAt:
			w.append(worker.id, worker.dataCentre)
			worker.listed, worker.relistAt = true, 0
		case worker.relistAt > 0:
			missing++
		}
	}
	if w.settledEnd == math.MaxInt64 && 2*missing < w.lapsed {
		w.settledEnd = position.Position(len(w.records))
	}
}

// stepKeepers lets the keepers read the store and send digests.
func (w *mergeWorld) stepKeepers() {
	for _, dataCentre := range []string{"a", "b"} {
		k := w.keepers[dataCentre]
		if !k.disconnected && !w.isDown && !w.chance(4, "keeper is slow") {
			switch {
			case k.next == 0:
				k.followedFrom = position.Position(len(w.records))
			case w.now-k.readAt >= lapseHeartbeats*testHeartbeat:
				k.followedFrom, k.noDigestsUntil = position.Position(len(w.records)), w.now+lapseGrace
			}
			k.next, k.readAt = position.Position(len(w.records)), w.now
		}
		if k.next == 0 || w.now < k.noDigestsUntil || w.now-k.readAt >= minRelayAge {
			continue
		}
		w.sentCount++
		d := neighbour.Digest{
			Instance: "keeper-" + dataCentre, DataCentre: dataCentre, Keeper: true,
			ListAge: (w.now - k.readAt).Milliseconds() + 1, ListEnd: k.next, ListSince: k.followedFrom, Places: w.keeperPlaces(k, dataCentre),
			Gone: w.recentRemovals(k),
		}
		if dataCentre == "a" && w.now-w.keepers["b"].readAt >= minRelayAge {
			d.OtherDataCentres = map[string][]neighbour.Place{"b": w.keeperPlaces(k, "b")}
		}
		if w.chance(4, "lost") {
			continue
		}
		w.deliveries = append(w.deliveries, delivery{Digest: d, number: w.sentCount, due: w.now + w.duration(3*stepTime, "delivery delay")})
	}
}

func (w *mergeWorld) keeperPlaces(k *reader, dataCentre string) []neighbour.Place {
	var ids []string
	for id, r := range w.newest(k.next) {
		if string(r.Value) == dataCentre {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return deskPlaces(ids)
}

// recentRemovals returns the workers whose removal a keeper has read and that left
// within drainBound.
func (w *mergeWorld) recentRemovals(k *reader) []neighbour.Gone {
	var gone []neighbour.Gone
	for _, worker := range w.workers {
		if worker.left && k.followedFrom <= worker.leftOffset && worker.leftOffset < k.next && w.now-worker.leftAt < drainBound {
			gone = append(gone, neighbour.Gone{Server: worker.id, Offset: worker.leftOffset, Draining: len(w.records[worker.leftOffset].Value) > 0})
		}
	}
	return gone
}

// announcesRemoval reports whether a digest shows that a worker has left.
func (w *mergeWorld) announcesRemoval(d neighbour.Digest, worker *simulatedWorker) bool {
	if slices.ContainsFunc(d.Gone, func(g neighbour.Gone) bool { return g.Server == worker.id }) {
		return true
	}
	_, elsewhere := d.OtherDataCentres[worker.dataCentre]
	return (elsewhere || d.DataCentre == worker.dataCentre) && d.ListSince <= worker.leftOffset && worker.leftOffset < d.ListEnd
}

// deliverDigests delivers the digests that are due, each keeper's in order. While the
// instance is suspended, its socket buffers the first ones and the rest is lost.
func (w *mergeWorld) deliverDigests() {
	const buffered = 10
	if w.suspendedSteps > 0 {
		w.deliveries = w.deliveries[:min(len(w.deliveries), buffered)]
		return
	}
	var later []delivery
	for _, m := range w.deliveries {
		switch {
		case m.due > w.now:
			later = append(later, m)
		case m.number > w.lastDelivered[m.Instance]:
			w.lastDelivered[m.Instance] = m.number
			m.BufferedFor = w.now - m.due
			w.onDigest(m.Digest)
			w.lastAnswer = max(w.lastAnswer, w.now-m.BufferedFor-time.Duration(m.ListAge)*time.Millisecond)
			w.Logf("%v: %s announces records %d to %d, age %d ms", w.now-time.Hour, m.Instance, m.ListSince, m.ListEnd, m.ListAge)
			for _, worker := range w.workers {
				if worker.left && w.announcesRemoval(m.Digest, worker) {
					worker.learn(w.now)
				}
			}
		}
	}
	w.deliveries = later
}

// stepWatch lets the instance read the store as State.watch does. Answers may be
// delayed.
func (w *mergeWorld) stepWatch() {
	if w.suspendedSteps > 0 {
		return
	}
	if w.pendingRead != nil {
		if w.now < w.pendingDue {
			return
		}
		b := *w.pendingRead
		w.pendingRead = nil
		b.ended = w.now
		if b.resumed && w.backAt > w.lastAnswer {
			w.graceEnd = w.now + lapseGrace
		}
		w.lastAnswer = max(w.lastAnswer, b.ended)
		for _, worker := range w.workers {
			switch {
			case !worker.left || worker.leftOffset >= b.end:
			case w.now <= w.graceEnd && worker.leftOffset < w.settledEnd:
				// Its removal can't be distinguished from the lapses of other entries.
				worker.learn(w.graceEnd + stepTime)
			default:
				worker.learn(w.now)
			}
		}
		w.state.applyWorkers(b)
		w.Logf("%v: reads to %d, began at %v, resumed %v", w.now-time.Hour, b.end, b.began-time.Hour, b.resumed)
		return
	}
	if w.own.next > 0 && w.workersRelayed() {
		return
	}
	if w.own.disconnected || w.isDown {
		w.own.failed = true
		return
	}
	end := position.Position(len(w.records))
	b := &batch{full: w.own.next == 0, caughtUp: true, began: w.now, resumed: w.own.failed, end: end}
	if b.full {
		for _, r := range w.newest(end) {
			if len(r.Value) > 0 {
				b.records = append(b.records, r)
			}
		}
	} else {
		b.records = slices.Clone(w.records[w.own.next:end])
	}
	w.own.next, w.own.failed = end, false
	w.pendingRead, w.pendingDue = b, w.now+w.duration(8*stepTime, "answer delay")
}

func (w *mergeWorld) step() {
	w.testBed.now += stepTime
	w.relistWorkers()
	w.stepKeepers()
	w.suspendedSteps = max(w.suspendedSteps-1, 0)
	w.stepWatch()
	w.deliverDigests()
}

// check fails if requests could be sent to a worker that left.
func (w *mergeWorld) check() {
	if w.suspendedSteps > 0 {
		return
	}
	placed := w.placed()
	for _, worker := range w.workers {
		if worker.left && worker.learntAt > 0 && w.now >= worker.learntAt && w.now-worker.leftAt > drainBound && slices.Contains(placed, worker.id) {
			w.Logf("decided by %+v, read %+v", w.layout().DecidedBy(worker.dataCentre), w.state.List().LastRead())
			w.Fatalf("%v: %s, which left %v ago by record %d, takes requests", w.now-time.Hour, worker.id, w.now-worker.leftAt, worker.leftOffset)
		}
	}
}

// checkDepartures returns the property with some guards disabled.
func checkDepartures(disabled listing.Guard) func(*rapid.T) {
	const steps, recoverySteps = 200, 50
	return func(t *rapid.T) {
		w := newMergeWorld(t, disabled)
		for range steps {
			w.injectFaults()
			w.step()
			w.check()
		}
		w.setStoreDown(false)
		w.own.disconnected = false
		for _, k := range w.keepers {
			k.disconnected = false
		}
		for range recoverySteps {
			w.step()
			w.check()
		}
		placed := w.placed()
		for _, worker := range w.workers {
			if worker.listed != slices.Contains(placed, worker.id) {
				w.Fatalf("%s: listed is %v, but takes requests is %v", worker.id, worker.listed, !worker.listed)
			}
		}
	}
}

// Reads and digests arrive in any order and with any delay; instances lose the store,
// restart and are suspended. No request is sent to a worker later than drainBound
// after its removal once a read or digest has shown the removal. Workers whose
// entries lapsed during an outage of the store get requests again.
func TestNoRequestForAWorkerThatIsKnownToHaveLeft(t *testing.T) { rapid.Check(t, checkDepartures(0)) }

// The other guards matter in few of these simulations or in none;
// TestRarelyNeededGuards has cases that need them.
func TestEachDepartureGuardIsNeeded(t *testing.T) {
	for name, guard := range map[string]listing.Guard{
		"by offset": listing.GuardOffsetOrder, "most": listing.GuardMajority, "names": listing.GuardDepartures,
	} {
		t.Run(name, func(t *testing.T) { oracle.WantViolation(t, checkDepartures(guard)) })
	}
}

func TestMain(m *testing.M) {
	const checks, steps = 100, 30
	oracle.Main(m, checks, steps)
}
