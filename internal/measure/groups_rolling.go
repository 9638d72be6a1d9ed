package measure

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/lease"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

const (
	rollingTick         = 100 * time.Millisecond
	rollingInstances    = 9
	rollingStart        = 20 * time.Second
	rollingInterval     = 20 * time.Second
	rollingEnd          = rollingStart + (rollingInstances+2)*rollingInterval
	rollingDuties       = 16 // run separately, since the holder depends on the name of the duty
	rollingLease        = 10 * time.Second
	logDelay            = 200 * time.Millisecond // from an append until all readers have the entry
	deathDetectionDelay = 8 * time.Second        // time in which heartbeats detect a crash
	listDelay           = 30 * time.Second       // until the platform's list shows a crash
)

// rollingRun simulates the replacement of all entry instances of a data centre one
// by one, while one of them holds the duty to control groups.
type rollingRun struct {
	duty       string
	now        time.Duration
	holders    map[string]*lease.Holder
	died       map[placement.Process]time.Duration
	listedGone map[placement.Process]bool
	state      placement.State
	log        []pendingRecord
	records    int
	ids        int
	currentGap time.Duration // length of the gap in progress, 0 for none
	longestGap time.Duration
	totalGap   time.Duration
	gaps       int
}

// pendingRecord is a record that readers receive at the time at.
type pendingRecord struct {
	at     time.Duration
	record placement.Record
}

// RollingReplacement measures how long no entry instance controls the groups while
// all entry instances are replaced one by one.
func RollingReplacement(seed uint64) Table {
	t := Table{
		Name:    "rolling replacement",
		Seed:    seed,
		Columns: []string{"way", "gaps", "longest s", "total s", "records", "records/s"},
		Note: fmt.Sprintf("%d entry instances, one replaced every %s; lease %s; a record is read after %s, a death noticed after %s, listed after %s. Gaps and records are means of %d duties, the longest is of all. "+
			"A group that is whole goes on taking work without control; a repair waits for the end of the gap.",
			rollingInstances, rollingInterval, rollingLease, logDelay, deathDetectionDelay, listDelay, rollingDuties),
	}
	t.Rows = append(t.Rows,
		rollingRow(seed, rollingDuties, "leave in order", true, true),
		rollingRow(seed, rollingDuties, "leave, lease left to lapse (baseline)", true, false),
		rollingRow(seed, rollingDuties, "killed", false, false))
	return t
}

func rollingRow(seed uint64, duties int, label string, announcesLeave, releasesLease bool) []string {
	var total, longest time.Duration
	gaps, records := 0, 0
	for i := range duties {
		r := newRollingRun(fmt.Sprintf("duty-%d-%d", seed, i))
		r.run(announcesLeave, releasesLease)
		total += r.totalGap
		longest = max(longest, r.longestGap)
		gaps += r.gaps
		records += r.records
	}
	rate := float64(records) / float64(duties) / rollingEnd.Seconds()
	return []string{label, fmt.Sprintf("%.1f", float64(gaps)/float64(duties)), fmt.Sprintf("%.1f", longest.Seconds()),
		fmt.Sprintf("%.1f", total.Seconds()/float64(duties)), fmt.Sprint(records / duties), fmt.Sprintf("%.2f", rate)}
}

func newRollingRun(duty string) *rollingRun {
	r := &rollingRun{
		duty:       duty,
		holders:    make(map[string]*lease.Holder),
		died:       make(map[placement.Process]time.Duration),
		listedGone: make(map[placement.Process]bool),
	}
	for i := range rollingInstances {
		r.join(fmt.Sprintf("entry-%d", i))
	}
	return r
}

func (r *rollingRun) run(announcesLeave, releasesLease bool) {
	for r.now < rollingEnd {
		r.now += rollingTick
		after := r.now - rollingStart
		if i := int(after / rollingInterval); after >= 0 && after%rollingInterval == 0 && i < rollingInstances {
			r.replace(fmt.Sprintf("entry-%d", i), fmt.Sprintf("entry-%d", rollingInstances+i), announcesLeave, releasesLease)
		}
		r.step()
	}
}

func (r *rollingRun) newID() string {
	r.ids++
	return fmt.Sprint(r.ids)
}

func (r *rollingRun) append(presumes journal.Offset, body placement.Body) {
	r.log = append(r.log, pendingRecord{r.now + logDelay, placement.Record{ID: r.newID(), Presumes: presumes, Body: body}})
}

func (r *rollingRun) join(name string) {
	p := placement.Process{Name: name, BootID: "1"}
	r.holders[name] = &lease.Holder{Duty: r.duty, Self: p, Duration: rollingLease, Now: r.clock, NewID: r.newID}
	r.append(0, placement.EntryJoin{Process: p})
}

func (r *rollingRun) clock() time.Time { return time.Unix(0, 0).Add(r.now) }

// replace stops one entry instance and starts another.
func (r *rollingRun) replace(old, next string, announcesLeave, releasesLease bool) {
	h := r.holders[old]
	e, _ := r.state.Entry(old)
	if releasesLease {
		if rec, ok := h.Step(r.state, without(r.alive(), old)); ok {
			r.log = append(r.log, pendingRecord{r.now + logDelay, rec})
		}
		r.append(e.Joined, placement.EntryLeave{Process: h.Self})
	}
	delete(r.holders, old)
	r.died[h.Self] = r.now
	if announcesLeave {
		r.died[h.Self] = r.now - deathDetectionDelay + rollingTick
	}
	r.join(next)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// alive returns the entry instances that are alive according to the heartbeats.
func (r *rollingRun) alive() []string {
	var names []string
	table, _ := r.state.Table()
	for _, m := range table.Members {
		at, died := r.died[m.Process]
		if !died || r.now-at < deathDetectionDelay {
			names = append(names, m.Name)
		}
	}
	return names
}

func (r *rollingRun) step() {
	r.applyRecords()
	r.recordListedDeaths()
	alive := r.alive()
	for _, name := range slices.Sorted(maps.Keys(r.holders)) {
		rec, ok := r.holders[name].Step(r.state, alive)
		if ok && !r.isPending(rec.ID) {
			r.log = append(r.log, pendingRecord{r.now + logDelay, rec})
		}
	}
	r.trackGap()
}

func (r *rollingRun) isPending(id string) bool {
	return slices.ContainsFunc(r.log, func(l pendingRecord) bool { return l.record.ID == id })
}

func (r *rollingRun) applyRecords() {
	for len(r.log) > 0 && r.log[0].at <= r.now {
		data, err := r.log[0].record.Encode()
		if err != nil {
			panic(err)
		}
		r.log = r.log[1:]
		r.records++
		r.state, _ = r.state.Apply(journal.Entry{Offset: journal.Offset(r.records), Data: data})
	}
}

// recordListedDeaths appends records for the stopped processes that the platform's
// list shows.
func (r *rollingRun) recordListedDeaths() {
	for p, at := range r.died {
		if r.now-at < listDelay || r.listedGone[p] || !r.state.HasJoined(p) {
			continue
		}
		r.listedGone[p] = true
		e, _ := r.state.Entry(p.Name)
		r.append(e.Joined, placement.EntryGone{Process: p})
	}
}

// trackGap updates the gap statistics by whether any entry instance may act for
// the duty.
func (r *rollingRun) trackGap() {
	if r.now < rollingStart {
		return
	}
	for _, h := range r.holders {
		held := h.Act(context.Background(), func(context.Context, journal.Offset) error { return nil }) == nil
		if held {
			r.currentGap = 0
			return
		}
	}
	if r.currentGap == 0 {
		r.gaps++
	}
	r.currentGap += rollingTick
	r.totalGap += rollingTick
	r.longestGap = max(r.longestGap, r.currentGap)
}
