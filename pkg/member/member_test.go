package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fabric carries messages between tables in virtual time.
type fabric struct {
	now    time.Time
	rand   *rand.Rand
	tables map[string]*Table
	order  []string
	cut    func(from, to string) bool
	loss   float64
	paused map[string]bool
}

func newFabric(n int) *fabric {
	f := &fabric{
		now:    time.Unix(0, 0),
		rand:   rand.New(rand.NewPCG(1, 2)),
		tables: make(map[string]*Table),
		cut:    func(string, string) bool { return false },
		paused: make(map[string]bool),
	}
	for i := range n {
		f.start(fmt.Sprintf("e%02d", i), "dc", 1)
	}
	return f
}

func (f *fabric) start(name, dc string, boot uint64) *Table {
	t := New(Config{Self: Row{Name: name, DataCentre: dc, Address: name + ":1", Boot: boot}, Rand: f.rand.IntN})
	if _, ok := f.tables[name]; !ok {
		f.order = append(f.order, name)
	}
	for _, other := range f.tables {
		t.Add(f.now, other.self.row)
		other.Add(f.now, t.self.row)
	}
	f.tables[name] = t
	return t
}

// run lets so many intervals pass.
func (f *fabric) run(intervals int) {
	for range intervals {
		f.now = f.now.Add(time.Second)
		for _, name := range f.order {
			if !f.paused[name] {
				f.send(f.tables[name].Tick(f.now))
			}
		}
	}
}

func (f *fabric) send(messages []Message) {
	for _, m := range messages {
		to := f.tables[m.To]
		if to == nil || f.paused[m.To] || f.cut(m.From, m.To) || f.rand.Float64() < f.loss {
			continue
		}
		arrived, err := Decode(m.Encode())
		if err != nil {
			panic(err)
		}
		f.send(to.Receive(f.now, arrived))
	}
}

func wantAlive(t *testing.T, f *fabric, at string, n int) {
	t.Helper()
	NewWithT(t).Expect(f.tables[at].Alive()).To(HaveLen(n), "alive at %s", at)
}

func wantStatus(t *testing.T, f *fabric, at, of string, want Status) {
	t.Helper()
	r := f.tables[at].records[of]
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

func TestItemsReachAll(t *testing.T) {
	f := newFabric(24)
	f.loss = 0.2
	f.run(5)
	for i := range 40 {
		f.tables["e03"].SetItem("cold", fmt.Append(nil, i))
		f.tables["e07"].SetItem("limits", fmt.Append(nil, i))
		f.run(1)
	}
	f.loss = 0
	f.run(30)
	for _, name := range f.order {
		for owner, key := range map[string]string{"e03": "cold", "e07": "limits"} {
			item, ok := f.tables[name].records[owner].row.Item(key)
			NewWithT(t).Expect(ok).To(BeTrue())
			NewWithT(t).Expect(string(item.Value)).To(Equal("39"), "%s at %s", key, name)
		}
	}
}

func TestLiveness(t *testing.T) {
	others := func(f *fabric, name string) func(from, to string) bool {
		return func(from, to string) bool { return (from < name) != (to < name) }
	}
	tests := []struct {
		name  string
		fault func(f *fabric)
		after int
		check func(t *testing.T, f *fabric)
	}{
		{"death", func(f *fabric) { f.paused["e05"] = true }, 12, func(t *testing.T, f *fabric) {
			wantStatus(t, f, "e00", "e05", Dead)
			wantAlive(t, f, "e00", 11)
		}},
		{"neighbours die together", func(f *fabric) { f.paused["e05"], f.paused["e06"], f.paused["e07"] = true, true, true }, 14,
			func(t *testing.T, f *fabric) { wantAlive(t, f, "e04", 9) }},
		{"leave", func(f *fabric) { f.tables["e05"].Leave(f.now) }, 6, func(t *testing.T, f *fabric) { wantStatus(t, f, "e00", "e05", Left) }},
		{"one bad link", func(f *fabric) {
			f.cut = func(from, to string) bool { return from == "e04" && to == "e05" || from == "e05" && to == "e04" }
		}, 60, func(t *testing.T, f *fabric) { wantAlive(t, f, "e00", 12) }},
		{"loss of one message in ten", func(f *fabric) { f.loss = 0.1 }, 100, func(t *testing.T, f *fabric) { wantAlive(t, f, "e00", 12) }},
		{"partition", func(f *fabric) { f.cut = others(f, "e06") }, 14, func(t *testing.T, f *fabric) {
			wantAlive(t, f, "e00", 6)
			wantAlive(t, f, "e11", 6)
		}},
		{"partition heals", func(f *fabric) {
			f.cut = others(f, "e06")
			f.run(20)
			f.cut = func(string, string) bool { return false }
		}, 40, func(t *testing.T, f *fabric) {
			wantAlive(t, f, "e00", 12)
			wantAlive(t, f, "e11", 12)
		}},
		{"restart", func(f *fabric) {
			f.tables["e05"].SetItem("k", []byte("old"))
			f.run(5)
			f.start("e05", "dc", 2)
		}, 10, func(t *testing.T, f *fabric) {
			wantAlive(t, f, "e00", 12)
			_, ok := f.tables["e00"].records["e05"].row.Item("k")
			NewWithT(t).Expect(ok).To(BeFalse(), "items of the old run are dropped")
		}},
		{"pause and wake", func(f *fabric) {
			f.paused["e05"] = true
			f.run(20)
			f.paused["e05"] = false
		}, 20, func(t *testing.T, f *fabric) {
			wantAlive(t, f, "e05", 12)
			wantAlive(t, f, "e00", 12)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFabric(12)
			f.run(10)
			tt.fault(f)
			f.run(tt.after)
			tt.check(t, f)
		})
	}
}

func TestReplaced(t *testing.T) {
	f := newFabric(3)
	old := f.tables["e01"]
	f.start("e01", "dc", 2)
	old.Receive(f.now, Message{From: "e00", Rows: []Row{f.tables["e01"].self.row}})
	NewWithT(t).Expect(old.Replaced()).To(BeTrue())
}

func TestStranger(t *testing.T) {
	f := newFabric(3)
	f.start("e99", "dc", 1)
	for _, name := range []string{"e00", "e01", "e02"} {
		f.tables[name].Remove("e99")
	}
	f.run(6)
	wantAlive(t, f, "e99", 4)
	wantAlive(t, f, "e00", 4)
}

func TestContacts(t *testing.T) {
	f := newFabric(5)
	for i := range 8 {
		f.start(fmt.Sprintf("x%02d", i), "other", 1)
	}
	f.run(10)
	g := NewWithT(t)
	g.Expect(f.tables["e00"].Contacts(f.now)).To(HaveLen(maxContacts))
	wantAlive(t, f, "e00", 5)
	for _, row := range f.tables["e00"].Contacts(f.now) {
		f.paused[row.Name] = true
	}
	f.run(60)
	live := 0
	for _, row := range f.tables["e00"].Contacts(f.now) {
		if !f.paused[row.Name] {
			live++
		}
	}
	g.Expect(live).To(BeNumerically(">", 0), "silent contacts are replaced")
}

func FuzzDecode(f *testing.F) {
	a := newFabric(3).tables["e00"]
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
		table := newFabric(3).tables["e00"]
		table.Receive(time.Unix(1, 0), m)
		table.Tick(time.Unix(2, 0))
	})
}
