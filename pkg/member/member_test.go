package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// network delivers messages between tables in virtual time.
type network struct {
	now    time.Time
	rand   *rand.Rand
	tables map[string]*Table
	names  []string
	isCut  func(from, to string) bool // reports whether messages between two members are lost
	loss   float64                    // probability that a message is lost
	paused map[string]bool
}

func newNetwork(n int) *network {
	net := &network{
		now:    time.Unix(0, 0),
		rand:   rand.New(rand.NewPCG(1, 2)),
		tables: make(map[string]*Table),
		isCut:  func(string, string) bool { return false },
		paused: make(map[string]bool),
	}
	for i := range n {
		net.startMember(fmt.Sprintf("e%02d", i), "dc", 1)
	}
	return net
}

func (net *network) startMember(name, dc string, boot uint64) *Table {
	t := New(Config{Self: Row{Name: name, DataCentre: dc, Address: name + ":1", Boot: boot}, Rand: net.rand.IntN})
	if _, ok := net.tables[name]; !ok {
		net.names = append(net.names, name)
	}
	for _, other := range net.tables {
		t.Add(net.now, other.self.row)
		other.Add(net.now, t.self.row)
	}
	net.tables[name] = t
	return t
}

// runIntervals advances the time by a number of intervals and ticks the tables that
// are not paused.
func (net *network) runIntervals(intervals int) {
	for range intervals {
		net.now = net.now.Add(time.Second)
		for _, name := range net.names {
			if !net.paused[name] {
				net.send(net.tables[name].Tick(net.now))
			}
		}
	}
}

func (net *network) send(messages []Message) {
	for _, m := range messages {
		to := net.tables[m.To]
		if to == nil || net.paused[m.To] || net.isCut(m.From, m.To) || net.rand.Float64() < net.loss {
			continue
		}
		arrived, err := Decode(m.Encode())
		if err != nil {
			panic(err)
		}
		net.send(to.Receive(net.now, arrived))
	}
}

func wantAlive(t *testing.T, net *network, at string, n int) {
	t.Helper()
	NewWithT(t).Expect(net.tables[at].Alive()).To(HaveLen(n), "alive at %s", at)
}

func wantStatus(t *testing.T, net *network, at, of string, want Status) {
	t.Helper()
	r := net.tables[at].records[of]
	if r == nil || r.row.Status != want {
		t.Errorf("%s at %s is %v, want %s", of, at, r, want)
	}
}

func Example() {
	a := New(Config{Self: Row{Name: "a", Address: "10.0.0.1:1"}})
	b := New(Config{Self: Row{Name: "b", Address: "10.0.0.2:1"}})
	now := time.Unix(0, 0)
	a.Add(now, Row{Name: "b", Address: "10.0.0.2:1"})
	a.SetItem("Limits", []byte("settled at 7"))
	for _, ping := range a.Tick(now) {
		for _, ack := range b.Receive(now, ping) {
			a.Receive(now, ack)
		}
	}
	item, _ := b.Alive()[0].Item("Limits")
	fmt.Printf("%s: %s\n", b.Alive()[0].Name, item.Value)
	// Output: a: settled at 7
}

func TestItemsReachAllMembers(t *testing.T) {
	net := newNetwork(24)
	net.loss = 0.2
	net.runIntervals(5)
	for i := range 40 {
		net.tables["e03"].SetItem("cold", fmt.Append(nil, i))
		net.tables["e07"].SetItem("limits", fmt.Append(nil, i))
		net.runIntervals(1)
	}
	net.loss = 0
	net.runIntervals(30)
	for _, name := range net.names {
		for owner, key := range map[string]string{"e03": "cold", "e07": "limits"} {
			item, ok := net.tables[name].records[owner].row.Item(key)
			NewWithT(t).Expect(ok).To(BeTrue())
			NewWithT(t).Expect(string(item.Value)).To(Equal("39"), "%s at %s", key, name)
		}
	}
}

func TestLiveness(t *testing.T) {
	partitionAt := func(net *network, name string) func(from, to string) bool {
		return func(from, to string) bool { return (from < name) != (to < name) }
	}
	tests := []struct {
		name      string
		fault     func(net *network)
		intervals int
		check     func(t *testing.T, net *network)
	}{
		{"death", func(net *network) { net.paused["e05"] = true }, 12, func(t *testing.T, net *network) {
			wantStatus(t, net, "e00", "e05", Dead)
			wantAlive(t, net, "e00", 11)
		}},
		{"adjacent members die together", func(net *network) { net.paused["e05"], net.paused["e06"], net.paused["e07"] = true, true, true }, 14,
			func(t *testing.T, net *network) { wantAlive(t, net, "e04", 9) }},
		{"leave", func(net *network) { net.tables["e05"].Leave(net.now) }, 6, func(t *testing.T, net *network) { wantStatus(t, net, "e00", "e05", Left) }},
		{"link between two members is cut", func(net *network) {
			net.isCut = func(from, to string) bool { return from == "e04" && to == "e05" || from == "e05" && to == "e04" }
		}, 60, func(t *testing.T, net *network) { wantAlive(t, net, "e00", 12) }},
		{"loss of one message in ten", func(net *network) { net.loss = 0.1 }, 100, func(t *testing.T, net *network) { wantAlive(t, net, "e00", 12) }},
		{"partition", func(net *network) { net.isCut = partitionAt(net, "e06") }, 14, func(t *testing.T, net *network) {
			wantAlive(t, net, "e00", 6)
			wantAlive(t, net, "e11", 6)
		}},
		{"partition heals", func(net *network) {
			net.isCut = partitionAt(net, "e06")
			net.runIntervals(20)
			net.isCut = func(string, string) bool { return false }
		}, 40, func(t *testing.T, net *network) {
			wantAlive(t, net, "e00", 12)
			wantAlive(t, net, "e11", 12)
		}},
		{"restart", func(net *network) {
			net.tables["e05"].SetItem("k", []byte("old"))
			net.runIntervals(5)
			net.startMember("e05", "dc", 2)
		}, 10, func(t *testing.T, net *network) {
			wantAlive(t, net, "e00", 12)
			_, ok := net.tables["e00"].records["e05"].row.Item("k")
			NewWithT(t).Expect(ok).To(BeFalse(), "items of the previous run are removed")
		}},
		{"pause and resume", func(net *network) {
			net.paused["e05"] = true
			net.runIntervals(20)
			net.paused["e05"] = false
		}, 20, func(t *testing.T, net *network) {
			wantAlive(t, net, "e05", 12)
			wantAlive(t, net, "e00", 12)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			net := newNetwork(12)
			net.runIntervals(10)
			tt.fault(net)
			net.runIntervals(tt.intervals)
			tt.check(t, net)
		})
	}
}

func TestReplacedByNewerRun(t *testing.T) {
	net := newNetwork(3)
	old := net.tables["e01"]
	net.startMember("e01", "dc", 2)
	old.Receive(net.now, Message{From: "e00", Rows: []Row{net.tables["e01"].self.row}})
	NewWithT(t).Expect(old.Replaced()).To(BeTrue())
}

func TestPingFromUnknownMember(t *testing.T) {
	net := newNetwork(3)
	net.startMember("e99", "dc", 1)
	for _, name := range []string{"e00", "e01", "e02"} {
		net.tables[name].Remove("e99")
	}
	net.runIntervals(6)
	wantAlive(t, net, "e99", 4)
	wantAlive(t, net, "e00", 4)
}

func TestContacts(t *testing.T) {
	net := newNetwork(5)
	for i := range 8 {
		net.startMember(fmt.Sprintf("x%02d", i), "other", 1)
	}
	net.runIntervals(10)
	g := NewWithT(t)
	g.Expect(net.tables["e00"].Contacts(net.now)).To(HaveLen(maxContacts))
	wantAlive(t, net, "e00", 5)
	for _, row := range net.tables["e00"].Contacts(net.now) {
		net.paused[row.Name] = true
	}
	net.runIntervals(60)
	replaced := 0
	for _, row := range net.tables["e00"].Contacts(net.now) {
		if !net.paused[row.Name] {
			replaced++
		}
	}
	g.Expect(replaced).To(BeNumerically(">", 0), "silent contacts are replaced")
}

func FuzzDecode(f *testing.F) {
	a := newNetwork(3).tables["e00"]
	a.SetItem("k", []byte("v"))
	for _, m := range a.Tick(time.Unix(1, 0)) {
		f.Add(m.Encode())
	}
	f.Add(Message{Kind: Ack, From: "a", Buckets: []int{0, 15}, Digests: []Digest{{"a", 1}}, Want: []string{"b"}}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(m.Encode())
		if err != nil {
			t.Fatal(err)
		}
		NewWithT(t).Expect(again.Encode()).To(Equal(m.Encode()))
		table := newNetwork(3).tables["e00"]
		table.Receive(time.Unix(1, 0), m)
		table.Tick(time.Unix(2, 0))
	})
}
