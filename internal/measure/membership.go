package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/member"
)

const (
	membershipInterval = time.Second
	membershipWarmUp   = 10 * time.Second
	membershipSteady   = 30 * time.Second
	membershipDeath    = 15 * time.Second
	membershipLatency  = 1500 * time.Microsecond
	itemInterval       = 30 * time.Second // mean time between two changes of an instance's item
	itemBytes          = 40
	packetBytes        = 60 // TCP/IP headers and framing of one message
	meshBytes          = 30 // payload of a plain heartbeat
	meshSilence        = 6 * membershipInterval
)

// Membership measures the traffic of the membership protocol for each instance and
// the time to detect a crash, compared with a full mesh of heartbeats.
func Membership(seed uint64) Table {
	return membershipTable(seed, 9, 24, 72, 360)
}

func membershipTable(seed uint64, sizes ...int) Table {
	t := Table{
		Name:    "membership",
		Seed:    seed,
		Columns: []string{"instances", "scheme", "B/s mean", "B/s max", "detect p50", "detect max", "item p50", "item max", "false deaths"},
		Note: fmt.Sprintf("Bytes are sent plus received by one instance, with %d B for each message. Each instance changes an item of %d B every %s. "+
			"Detection is over all other instances after one death; item is the time until a change is known everywhere.", packetBytes, itemBytes, itemInterval),
	}
	for _, n := range sizes {
		t.Rows = append(t.Rows,
			runMembership(n, seed, true).row(n, "digests"),
			runMembership(n, seed, false).row(n, "digests, no items"),
			meshRow(n, seed))
	}
	return t
}

// membershipRun is one simulation in virtual time.
type membershipRun struct {
	now         time.Duration
	items       bool // whether instances publish changes
	rand        *rand.Rand
	events      events
	tables      []*member.Table
	names       map[string]int
	dead        int
	counting    bool
	bytes       []int
	detected    []time.Duration // detection time by instance; 0 before the detection
	published   map[string]time.Duration
	pending     map[string]int // number of instances without the value
	spreadTimes []time.Duration
	falseDeaths int
	sequence    int
	diedAt      time.Duration
}

// event is a tick of an instance (if message is nil) or the arrival of a message.
type event struct {
	at       time.Duration
	sequence int
	to       int
	message  *member.Message
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func runMembership(n int, seed uint64, items bool) *membershipRun {
	r := &membershipRun{
		items:     items,
		rand:      rand.New(rand.NewPCG(seed, uint64(n))),
		names:     make(map[string]int),
		dead:      -1,
		bytes:     make([]int, n),
		detected:  make([]time.Duration, n),
		published: make(map[string]time.Duration),
		pending:   make(map[string]int),
	}
	var rows []member.Row
	for i := range n {
		row := member.Row{Name: fmt.Sprintf("entry-%03d", i), DataCentre: "dc", Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Boot: uint64(i + 1)}
		r.names[row.Name] = i
		rows = append(rows, row)
		t := member.New(member.Config{Self: row, Interval: membershipInterval, Rand: r.rand.IntN})
		r.tables = append(r.tables, t)
		r.push(event{at: time.Duration(r.rand.Int64N(int64(membershipInterval))), to: i})
	}
	for _, t := range r.tables {
		for _, row := range rows {
			t.Add(time.Unix(0, 0), row)
		}
	}
	return r.run(n)
}

func (r *membershipRun) run(n int) *membershipRun {
	r.runUntil(membershipWarmUp)
	r.counting = true
	r.runUntil(membershipWarmUp + membershipSteady)
	r.counting = false
	r.dead = r.rand.IntN(n)
	r.diedAt = r.now
	r.runUntil(membershipWarmUp + membershipSteady + membershipDeath)
	return r
}

func (r *membershipRun) push(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.events, e)
}

func (r *membershipRun) runUntil(end time.Duration) {
	for len(r.events) > 0 && r.events[0].at < end {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		if e.to == r.dead {
			continue
		}
		if e.message == nil {
			r.tick(e.to)
			continue
		}
		r.count(e.to, *e.message)
		r.send(e.to, r.tables[e.to].Receive(r.clock(), *e.message))
		r.recordItems(e.to, *e.message)
	}
	r.now = end
}

func (r *membershipRun) clock() time.Time { return time.Unix(0, 0).Add(r.now) }

func (r *membershipRun) tick(i int) {
	if r.items && r.dead < 0 && r.rand.Int64N(int64(itemInterval/membershipInterval)) == 0 {
		r.publish(i)
	}
	r.send(i, r.tables[i].Tick(r.clock()))
	r.push(event{at: r.now + membershipInterval, to: i})
	r.recordDeaths(i)
}

// publish changes the instance's item and starts to time its propagation.
func (r *membershipRun) publish(i int) {
	value := make([]byte, itemBytes)
	for j := range value {
		value[j] = byte(r.rand.Uint32())
	}
	r.tables[i].SetItem("load", value)
	if r.counting {
		r.published[string(value)] = r.now
		r.pending[string(value)] = len(r.tables) - 1
	}
}

// recordItems records the items that the instance receives for the first time.
func (r *membershipRun) recordItems(i int, m member.Message) {
	for _, row := range m.Rows {
		for _, item := range row.Items {
			key := string(item.Value)
			began, ok := r.published[key]
			if !ok || r.names[row.Name] == i {
				continue
			}
			seen := fmt.Sprint(i, key)
			if _, again := r.published[seen]; again {
				continue
			}
			r.published[seen] = r.now
			r.pending[key]--
			if r.pending[key] == 0 {
				r.spreadTimes = append(r.spreadTimes, r.now-began)
			}
		}
	}
}

func (r *membershipRun) send(from int, messages []member.Message) {
	for _, m := range messages {
		r.count(from, m)
		r.push(event{at: r.now + membershipLatency, to: r.names[m.To], message: &m})
	}
}

func (r *membershipRun) count(i int, m member.Message) {
	if r.counting {
		r.bytes[i] += len(m.Encode()) + packetBytes
	}
}

// recordDeaths records which instances this one considers dead.
func (r *membershipRun) recordDeaths(i int) {
	for _, row := range r.tables[i].Rows() {
		if row.Status != member.Dead {
			continue
		}
		if r.names[row.Name] != r.dead {
			r.falseDeaths++
			continue
		}
		if r.detected[i] == 0 {
			r.detected[i] = r.now - r.diedAt
		}
	}
}

func (r *membershipRun) row(n int, scheme string) []string {
	var detected []time.Duration
	for i, d := range r.detected {
		if i != r.dead {
			detected = append(detected, d)
		}
	}
	total, most := 0, 0
	for _, b := range r.bytes {
		total += b
		most = max(most, b)
	}
	steady := membershipSteady.Seconds()
	return []string{fmt.Sprint(n), scheme,
		fmt.Sprintf("%.0f", float64(total)/float64(n)/steady), fmt.Sprintf("%.0f", float64(most)/steady),
		quantile(detected, 0.5), quantile(detected, 1), quantile(r.spreadTimes, 0.5), quantile(r.spreadTimes, 1), fmt.Sprint(r.falseDeaths)}
}

// meshRow calculates the row of a full mesh, in which each instance sends every
// other one a heartbeat with its item in each interval.
func meshRow(n int, seed uint64) []string {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	phase := time.Duration(r.Int64N(int64(membershipInterval)))
	var detected, spread []time.Duration
	for range n - 1 {
		own := time.Duration(r.Int64N(int64(membershipInterval)))
		last := -time.Duration(r.Int64N(int64(membershipInterval)))
		lapse := last + meshSilence
		detected = append(detected, lapse+(own-lapse%membershipInterval+membershipInterval)%membershipInterval)
	}
	spread = append(spread, phase+membershipLatency)
	bytes := 2 * (n - 1) * (meshBytes + itemBytes + packetBytes)
	return []string{fmt.Sprint(n), "full mesh", fmt.Sprint(bytes), fmt.Sprint(bytes),
		quantile(detected, 0.5), quantile(detected, 1), quantile(spread, 0.5), quantile(spread, 1), "0"}
}

// quantile formats the quantile of the durations at the given share.
func quantile(list []time.Duration, share float64) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	i := int(share * float64(len(list)-1))
	return list[i].Round(100 * time.Millisecond).String()
}
