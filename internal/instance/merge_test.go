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
)

const (
	mergeStep = 100 * time.Millisecond
	// drainBound is how long after its removal a worker may get requests.
	drainBound = 2 * time.Second
	// comeBack is within which a worker whose entry lapsed writes it again.
	comeBack = 1900 * time.Millisecond
)

// owned is a worker as it is.
type owned struct {
	id, dataCentre string
	listed         bool
	left           bool          // removed or draining by its owner
	leftAt         time.Duration // when the store acknowledged that
	offset         int64         // of that record
	again          time.Duration // when it writes its entry after a lapse; 0 is never
	shown          time.Duration // when the instance was shown that it left; 0 is not yet
}

func (o *owned) show(at time.Duration) {
	if o.shown == 0 || at < o.shown {
		o.shown = at
	}
}

// reader is what one reader of the store has of it.
type reader struct {
	next   int64 // 0 before the first read
	since  int64 // from which on it followed the store
	at     time.Duration
	cut    bool
	failed bool
	silent time.Duration // until when it tells nothing
}

// mergeWorld is a store, its workers, two keepers, and an instance that reads and
// is told of them at times that are drawn.
type mergeWorld struct {
	*rapid.T
	*bench
	off      listing.Guard
	workers  []*owned
	log      []Record // the index is the offset
	down     time.Duration
	isDown   bool
	back     time.Duration // when the store was back from its last long absence
	lapsed   int           // entries that lapsed in it
	settled  int64         // where the log was when most of them had come back
	informed time.Duration // when the store answered last, as the instance knows
	window   time.Duration // until when what it reads may be lapses
	keepers  map[string]*reader
	own      reader
	asleep   int              // steps for which the instance is suspended
	mail     []mail           // digests under way
	lastMail map[string]int64 // number of the last digest taken in, by keeper
	sent     int64
	pending  *batch // an answer under way
	arrives  time.Duration
}

type mail struct {
	neighbour.Digest
	due time.Duration
	n   int64
}

func newMergeWorld(t *rapid.T, off listing.Guard) *mergeWorld {
	w := &mergeWorld{T: t, off: off, keepers: map[string]*reader{}, lastMail: map[string]int64{}}
	w.start(time.Hour)
	w.append("", "") // offsets of entries begin with 1
	for _, dataCentre := range []string{"a", "b"} {
		w.keepers[dataCentre] = &reader{}
		for n := range 6 {
			o := &owned{id: fmt.Sprintf("%s-%d", dataCentre, n), dataCentre: dataCentre, listed: true}
			w.workers = append(w.workers, o)
			w.append(o.id, dataCentre)
		}
	}
	return w
}

// start starts the instance, which knows nothing.
func (w *mergeWorld) start(now time.Duration) {
	w.bench = newBench(w.Context())
	w.bench.now = now
	w.switchOff(w.off)
	w.own, w.pending, w.informed, w.window = reader{cut: w.own.cut}, nil, now, 0
	for _, o := range w.workers {
		o.shown = 0
	}
}

func (w *mergeWorld) append(id, value string) int64 {
	w.log = append(w.log, Record{Key: id, Value: []byte(value), Offset: int64(len(w.log))})
	return int64(len(w.log) - 1)
}

// newest returns the newest record of each key before an offset.
func (w *mergeWorld) newest(end int64) map[string]Record {
	records := map[string]Record{}
	for _, r := range w.log[1:end] {
		records[r.Key] = r
	}
	return records
}

// chance draws an event that happens about once in n steps.
func (w *mergeWorld) chance(n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(w.T, label) == n-1
}

func (w *mergeWorld) duration(most time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/mergeStep)).Draw(w.T, label)) * mergeStep
}

// disturb lets owners take workers out, and cuts, kills and suspends.
func (w *mergeWorld) disturb() {
	left := 0
	for _, o := range w.workers {
		if o.left {
			left++
		}
	}
	// Fewer than half leave, so that it can't be taken for a lapse of all.
	if o := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(w.T, "worker")]; !w.isDown && o.listed && !o.left && left < 3 && w.chance(15, "leaves") {
		value := ""
		if w.chance(3, "draining") {
			value = o.dataCentre + "!"
		}
		o.left, o.leftAt, o.listed, o.offset = true, w.now, false, w.append(o.id, value)
	}
	if w.chance(60, "outage") {
		w.setDown(!w.isDown)
	}
	if w.chance(20, "own cut") {
		w.own.cut = !w.own.cut
	}
	for _, dataCentre := range []string{"a", "b"} {
		k := w.keepers[dataCentre]
		if w.chance(25, "keeper's cut") {
			k.cut = !k.cut
		}
		if w.chance(100, "keeper restarts") {
			*k = reader{cut: k.cut, silent: w.now + meetingTime}
		}
	}
	switch {
	case w.chance(150, "restart"):
		w.start(w.now)
	case w.chance(80, "suspension"):
		w.asleep = rapid.IntRange(1, 40).Draw(w.T, "asleep")
	}
}

// setDown takes the store away from everybody, or brings it back. Entries lapse
// after three heartbeats, and their workers come back.
func (w *mergeWorld) setDown(down bool) {
	if down == w.isDown {
		return
	}
	w.isDown = down
	if down {
		w.down = w.now
		return
	}
	if w.now-w.down < 3*testHeartbeat {
		return
	}
	w.back, w.lapsed, w.settled = w.now, 0, math.MaxInt64
	for _, o := range w.workers {
		if o.listed {
			w.append(o.id, "")
			w.lapsed++
			o.listed, o.again = false, w.now+mergeStep+w.duration(comeBack-mergeStep, "again")
		}
	}
}

func (w *mergeWorld) comeBack() {
	missing := 0
	for _, o := range w.workers {
		switch {
		case o.again > 0 && !w.isDown && w.now >= o.again:
			w.append(o.id, o.dataCentre)
			o.listed, o.again = true, 0
		case o.again > 0:
			missing++
		}
	}
	if w.settled == math.MaxInt64 && 2*missing < w.lapsed {
		w.settled = int64(len(w.log))
	}
}

// keep lets the keepers read, and tell what they know.
func (w *mergeWorld) keep() {
	for _, dataCentre := range []string{"a", "b"} {
		k := w.keepers[dataCentre]
		if !k.cut && !w.isDown && !w.chance(4, "keeper is slow") {
			switch {
			case k.next == 0:
				k.since = int64(len(w.log))
			case w.now-k.at >= silentBeats*testHeartbeat:
				k.since, k.silent = int64(len(w.log)), w.now+returnGrace
			}
			k.next, k.at = int64(len(w.log)), w.now
		}
		if k.next == 0 || w.now < k.silent || w.now-k.at >= relayTrust {
			continue
		}
		w.sent++
		d := neighbour.Digest{
			Instance: "keeper-" + dataCentre, DataCentre: dataCentre, Keeper: true,
			ListAge: (w.now - k.at).Milliseconds() + 1, ListEnd: k.next, ListSince: k.since, Places: w.told(k, dataCentre),
			Gone: w.gone(k),
		}
		if dataCentre == "a" && w.now-w.keepers["b"].at >= relayTrust {
			d.OtherDataCentres = map[string][]neighbour.Place{"b": w.told(k, "b")}
		}
		if w.chance(4, "lost") {
			continue
		}
		w.mail = append(w.mail, mail{Digest: d, n: w.sent, due: w.now + w.duration(3*mergeStep, "way")})
	}
}

func (w *mergeWorld) told(k *reader, dataCentre string) []neighbour.Place {
	var ids []string
	for id, r := range w.newest(k.next) {
		if string(r.Value) == dataCentre {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return deskPlaces(ids)
}

// gone returns the workers that a keeper has seen leave in the last seconds.
func (w *mergeWorld) gone(k *reader) []neighbour.Gone {
	var gone []neighbour.Gone
	for _, o := range w.workers {
		if o.left && k.since <= o.offset && o.offset < k.next && w.now-o.leftAt < drainBound {
			gone = append(gone, neighbour.Gone{Server: o.id, Offset: o.offset, Draining: len(w.log[o.offset].Value) > 0})
		}
	}
	return gone
}

// tells reports whether a digest says that a worker has left.
func (w *mergeWorld) tells(d neighbour.Digest, o *owned) bool {
	if slices.ContainsFunc(d.Gone, func(g neighbour.Gone) bool { return g.Server == o.id }) {
		return true
	}
	_, elsewhere := d.OtherDataCentres[o.dataCentre]
	return (elsewhere || d.DataCentre == o.dataCentre) && d.ListSince <= o.offset && o.offset < d.ListEnd
}

// hear delivers the digests that are due, each keeper's in order. A suspended
// instance finds the first ones in its socket's buffer.
func (w *mergeWorld) hear() {
	const buffered = 10
	if w.asleep > 0 {
		w.mail = w.mail[:min(len(w.mail), buffered)]
		return
	}
	var later []mail
	for _, m := range w.mail {
		switch {
		case m.due > w.now:
			later = append(later, m)
		case m.n > w.lastMail[m.Instance]:
			w.lastMail[m.Instance] = m.n
			m.BufferedFor = w.now - m.due
			w.onDigest(m.Digest)
			w.informed = max(w.informed, w.now-m.BufferedFor-time.Duration(m.ListAge)*time.Millisecond)
			w.Logf("%v: %s tells of %d to %d, age %d ms", w.now-time.Hour, m.Instance, m.ListSince, m.ListEnd, m.ListAge)
			for _, o := range w.workers {
				if o.left && w.tells(m.Digest, o) {
					o.show(w.now)
				}
			}
		}
	}
	w.mail = later
}

// look lets the instance read as its watch does. An answer may be some time under way.
func (w *mergeWorld) look() {
	if w.asleep > 0 {
		return
	}
	if w.pending != nil {
		if w.now < w.arrives {
			return
		}
		b := *w.pending
		w.pending = nil
		b.ended = w.now
		if b.resumed && w.back > w.informed {
			w.window = w.now + returnGrace
		}
		w.informed = max(w.informed, b.ended)
		for _, o := range w.workers {
			switch {
			case !o.left || o.offset >= b.end:
			case w.now <= w.window && o.offset < w.settled:
				// Among entries that have just lapsed it looks like the others.
				o.show(w.window + mergeStep)
			default:
				o.show(w.now)
			}
		}
		w.state.applyWorkers(b)
		w.Logf("%v: reads to %d, began at %v, resumed %v", w.now-time.Hour, b.end, b.began-time.Hour, b.resumed)
		return
	}
	if w.own.next > 0 && w.workersRelayed() {
		return
	}
	if w.own.cut || w.isDown {
		w.own.failed = true
		return
	}
	end := int64(len(w.log))
	b := &batch{full: w.own.next == 0, whole: true, began: w.now, resumed: w.own.failed, end: end}
	if b.full {
		for _, r := range w.newest(end) {
			if len(r.Value) > 0 {
				b.records = append(b.records, r)
			}
		}
	} else {
		b.records = slices.Clone(w.log[w.own.next:end])
	}
	w.own.next, w.own.failed = end, false
	w.pending, w.arrives = b, w.now+w.duration(8*mergeStep, "answer")
}

func (w *mergeWorld) step() {
	w.bench.now += mergeStep
	w.comeBack()
	w.keep()
	w.asleep = max(w.asleep-1, 0)
	w.look()
	w.hear()
}

// check fails if a request would be placed at a worker that left.
func (w *mergeWorld) check() {
	if w.asleep > 0 {
		return
	}
	placed := w.placed()
	for _, o := range w.workers {
		if o.left && o.shown > 0 && w.now >= o.shown && w.now-o.leftAt > drainBound && slices.Contains(placed, o.id) {
			w.Logf("decided by %+v, read %+v", w.layout().DecidedBy(o.dataCentre), w.state.Listing().LastRead())
			w.Fatalf("%v: %s, which left %v ago by record %d, takes requests", w.now-time.Hour, o.id, w.now-o.leftAt, o.offset)
		}
	}
}

// departures is the property with some guards switched off.
func departures(off listing.Guard) func(*rapid.T) {
	const steps, calm = 200, 50
	return func(t *rapid.T) {
		w := newMergeWorld(t, off)
		for range steps {
			w.disturb()
			w.step()
			w.check()
		}
		w.setDown(false)
		w.own.cut = false
		for _, k := range w.keepers {
			k.cut = false
		}
		for range calm {
			w.step()
			w.check()
		}
		placed := w.placed()
		for _, o := range w.workers {
			if o.listed != slices.Contains(placed, o.id) {
				w.Fatalf("%s listed %v, takes requests %v", o.id, o.listed, !o.listed)
			}
		}
	}
}

// Whatever order and age reads and digests come in, and whoever loses the store,
// is suspended or restarts: no request is placed at a worker later than the bound
// after its removal, as far as anything that was read or told shows it. Workers
// whose entries lapsed while the store was away get requests again.
func TestNoRequestForAWorkerThatIsKnownToHaveLeft(t *testing.T) { rapid.Check(t, departures(0)) }

// The other guards are needed in few of these worlds or in none;
// TestGuardsThatFewDeparturesNeed has cases that need them.
func TestEachGuardOfDeparturesIsNeeded(t *testing.T) {
	for name, off := range map[string]listing.Guard{
		"by offset": listing.GuardOffsetOrder, "most": listing.GuardMajority, "names": listing.GuardDepartures,
	} {
		t.Run(name, func(t *testing.T) { oracle.WantViolation(t, departures(off)) })
	}
}

func TestMain(m *testing.M) {
	const checks, steps = 100, 30
	oracle.Main(m, checks, steps)
}
