package instance

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/pkg/position"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	lapseTime      = 3 * testHeartbeat // of an entry that nobody writes
	maxRewriteTime = 1900 * time.Millisecond
	maxCopyAge     = 60 // steps
)

// restoredWorker is the true state of a worker, which may start again.
type restoredWorker struct {
	id        string
	run, seq  int64
	alive     bool // serves, and isn't leaving
	leaving   bool // its owner drains or removes it; it serves for a while
	drains    bool
	leftAt    time.Duration
	diesAt    time.Duration // end of leaving
	rewriteAt time.Duration // when it writes its entry after a restore; 0 for never
	learntAt  time.Duration // when the instance read that this run left; 0 if it didn't
	leftRead  position.Position
}

// restoreWorld simulates a store that comes back from copies, its workers, and the tested
// instance, which only reads. rapid draws what happens.
type restoreWorld struct {
	*rapid.T
	*testBed
	workers []*restoredWorker
	era     int64
	records []Record // of the era and before; the index is the offset
	copies  [][]Record
	lapses  map[string]time.Duration // when the entries of workers that don't write any more lapse
	downTo  time.Duration            // when the store comes back; 0 if it is there
	copied  []Record                 // what it then has
	awayTo  time.Duration            // when this instance reaches it again
	next    position.Position
	failed  bool
	doubtTo time.Duration // until when entries that were removed or are missing may be kept
}

func newRestoreWorld(t *rapid.T) *restoreWorld {
	w := &restoreWorld{T: t, testBed: newTestBed(t.Context()), era: 1, lapses: map[string]time.Duration{}}
	w.state.platform.DecodeServer = func(id string, data []byte, _ time.Time) (roster.Server, error) {
		var s roster.Server
		_, err := fmt.Sscanf(string(data), "%d %d %t", &s.StartUnixMilli, &s.EntrySeq, &s.Draining)
		s.ID, s.Service, s.DataCentre, s.Slots = id, "desk", "a", 1
		return s, err
	}
	for n := range 4 {
		worker := &restoredWorker{id: "w" + strconv.Itoa(n), alive: true, run: 1}
		w.workers = append(w.workers, worker)
		w.write(worker)
	}
	return w
}

func (w *restoreWorld) write(worker *restoredWorker) {
	worker.seq++
	w.append(worker.id, fmt.Sprintf("%d %d %t", worker.run, worker.seq, worker.leaving && worker.drains))
	delete(w.lapses, worker.id)
}

func (w *restoreWorld) append(id, value string) {
	w.records = append(w.records, Record{Key: id, Value: []byte(value), Offset: at(w.era, int64(len(w.records)))})
}

func (w *restoreWorld) end() position.Position { return at(w.era, int64(len(w.records))) }

// newest returns the newest record of each key that has a value, in the store's era.
func (w *restoreWorld) newest() map[string]Record {
	newest := map[string]Record{}
	for n, r := range w.records {
		r.Offset = at(w.era, int64(n))
		newest[r.Key] = r
	}
	maps.DeleteFunc(newest, func(_ string, r Record) bool { return len(r.Value) == 0 })
	return newest
}

func (w *restoreWorld) chance(n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(w.T, label) == n-1
}

func (w *restoreWorld) steps(limit int, label string) time.Duration {
	return time.Duration(rapid.IntRange(1, limit).Draw(w.T, label)) * stepTime
}

func (w *restoreWorld) isDown() bool { return w.now < w.downTo }

// injectFaults makes workers leave, crash and start again, and takes the store away.
func (w *restoreWorld) injectFaults() {
	worker := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(w.T, "worker")]
	switch {
	case w.isDown():
	case worker.alive && w.chance(30, "leaves"):
		worker.alive, worker.leaving, worker.drains = false, true, rapid.Bool().Draw(w.T, "drains")
		worker.leftAt, worker.diesAt, worker.learntAt = w.now, w.now+2500*time.Millisecond, 0
		if worker.drains {
			w.write(worker)
		} else {
			w.append(worker.id, "")
		}
		worker.leftRead = w.end()
	case worker.alive && w.chance(40, "crashes"):
		worker.alive, worker.rewriteAt = false, 0
		w.lapses[worker.id] = w.now + lapseTime
	case !worker.alive && !worker.leaving && w.lapses[worker.id] == 0 && w.chance(10, "starts again"):
		worker.run, worker.seq, worker.alive, worker.learntAt = worker.run+1, 0, true, 0
		w.write(worker)
	case len(w.copies) > 10 && w.chance(60, "store goes away"):
		age := rapid.IntRange(1, len(w.copies)).Draw(w.T, "age of the copy")
		w.copied, w.downTo = w.copies[len(w.copies)-age], w.now+w.steps(30, "outage")
		w.Logf("%v: store goes away, comes back from %d of %d records", w.now-time.Hour, len(w.copied), len(w.records))
	}
	if w.chance(40, "cut off") {
		w.awayTo = w.now + w.steps(40, "cut")
	}
}

// stepStore lets time pass at the store and the workers.
func (w *restoreWorld) stepStore() {
	if w.copied != nil && !w.isDown() {
		w.era++
		w.records, w.copied, w.copies = slices.Clone(w.copied), nil, nil
		newest := w.newest()
		clear(w.lapses)
		for _, worker := range w.workers {
			_, listed := newest[worker.id]
			switch {
			case worker.alive, worker.leaving:
				worker.rewriteAt = w.now + w.steps(int(maxRewriteTime/stepTime), "rewrite")
			case listed:
				w.lapses[worker.id] = w.now + lapseTime
			}
		}
	}
	if w.isDown() {
		return
	}
	for _, worker := range w.workers {
		if worker.rewriteAt > 0 && w.now >= worker.rewriteAt {
			worker.rewriteAt = 0
			if worker.alive || worker.drains {
				w.write(worker)
			} else if _, listed := w.newest()[worker.id]; listed {
				w.append(worker.id, "")
			}
		}
		if worker.leaving && w.now >= worker.diesAt && worker.rewriteAt == 0 {
			worker.leaving = false
			if _, listed := w.newest()[worker.id]; listed {
				w.append(worker.id, "")
			}
		}
	}
	for id, at := range w.lapses {
		if w.now >= at {
			delete(w.lapses, id)
			w.append(id, "")
		}
	}
	if w.copies = append(w.copies, slices.Clone(w.records)); len(w.copies) > maxCopyAge {
		w.copies = w.copies[1:]
	}
}

// stepRead lets the instance read, as State.watch does.
func (w *restoreWorld) stepRead() {
	if w.isDown() || w.now < w.awayTo {
		w.failed = true
		return
	}
	if !w.chance(3, "reads") {
		return
	}
	b := batch{caughtUp: true, began: w.now, ended: w.now, resumed: w.failed, end: w.end()}
	if w.next.Era() != w.era { // the platform answers that the position is no longer valid
		b.full = true
		for _, r := range w.newest() {
			b.records = append(b.records, r)
		}
	} else {
		b.records = slices.Clone(w.records[w.next.Offset():])
	}
	w.state.applyWorkers(b)
	if b.full || b.resumed {
		w.doubtTo = w.now + lapseGrace
	}
	var changes []string
	for _, r := range b.records {
		changes = append(changes, fmt.Sprintf("%s %q", r.Key, r.Value))
	}
	w.Logf("%v: reads to %v: %s", w.now-time.Hour, b.end, strings.Join(changes, ", "))
	for _, worker := range w.workers {
		// An entry that is missing in the first read of an era may only be lost.
		if worker.leaving && worker.learntAt == 0 && !b.full && w.next < worker.leftRead && worker.leftRead <= b.end {
			worker.learntAt = w.now
		}
	}
	w.next, w.failed = b.end, false
}

// check fails if requests could be sent to a run that is known to have left.
func (w *restoreWorld) check() {
	placed := w.placed()
	for _, worker := range w.workers {
		known := max(worker.learntAt+stepTime, worker.leftAt+drainBound, w.doubtTo)
		if !worker.alive && worker.learntAt > 0 && w.now > known && slices.Contains(placed, worker.id) {
			w.Fatalf("%v: %s left %v ago, which was read %v ago, and takes requests", w.now-time.Hour, worker.id, w.now-worker.leftAt, w.now-worker.learntAt)
		}
	}
}

// The store comes back from copies of any age while workers leave, crash and start again,
// and the instance is cut off. No request is sent to a worker that the instance knows to
// have left, and in the end all that run get requests.
func TestWorkersOverRestoresOfTheStore(t *testing.T) {
	const steps, calmSteps = 250, 120
	rapid.Check(t, func(t *rapid.T) {
		w := newRestoreWorld(t)
		for n := range steps + calmSteps {
			if n < steps {
				w.injectFaults()
			}
			w.now += stepTime
			w.stepStore()
			w.stepRead()
			w.check()
		}
		placed := w.placed()
		for _, worker := range w.workers {
			if worker.alive != slices.Contains(placed, worker.id) {
				w.Fatalf("%s: runs is %v, but takes requests is %v", worker.id, worker.alive, !worker.alive)
			}
		}
	})
}
