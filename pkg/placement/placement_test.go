package placement

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

var (
	e1 = Process{"e1", "b1"}
	e2 = Process{"e2", "b2"}
)

func member(name string) Member { return Member{name, name + "-1", "d1"} }

func assign(group string, names ...string) GroupAssign {
	a := GroupAssign{Group: group, Model: "m", ModelVersion: "1", FabricDomain: "d1"}
	for _, n := range names {
		a.Members = append(a.Members, member(n))
	}
	return a
}

// stream is a log under test. Records are named r1, r2 and so on by offset.
type stream struct {
	entries []journal.Entry
	state   State
}

func (s *stream) add(t testing.TB, presumes journal.Offset, body Body) Verdict {
	t.Helper()
	offset := journal.Offset(len(s.entries) + 1)
	data, err := Record{ID: fmt.Sprint("r", offset), Presumes: presumes, Body: body}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return s.addData(data)
}

func (s *stream) addData(data []byte) Verdict {
	e := journal.Entry{Offset: journal.Offset(len(s.entries) + 1), Data: data}
	s.entries = append(s.entries, e)
	var v Verdict
	s.state, v = s.state.Apply(e)
	return v
}

func ExampleState_Apply() {
	var s State
	data, _ := Record{ID: "1", Body: EntryJoin{Process: Process{"entry-1", "boot-1"}, Address: "10.0.0.1:7000"}}.Encode()
	s, v := s.Apply(journal.Entry{Offset: 1, Data: data})
	fmt.Println(v)
	s, v = s.Apply(journal.Entry{Offset: 2, Data: data})
	fmt.Println(v)
	table, _ := s.Table()
	fmt.Println(table.Epoch, table.Members[0].Name)
	// Output:
	// EntryJoin at 1 accepted
	// EntryJoin at 1 accepted
	// 1 entry-1
}

// step is one record and a part of the findings with which it is refused.
type step struct {
	presumes journal.Offset
	body     Body
	refused  string
}

func TestApply(t *testing.T) {
	join1 := step{0, EntryJoin{Process: e1}, ""}
	join2 := step{0, EntryJoin{Process: e2}, ""}
	grant := LeaseGrant{"groups", e1, time.Second}
	claim := OrderClaim{"s1", "g", e1}
	tests := []struct {
		name  string
		steps []step
	}{
		{"join again", []step{join1, {0, EntryJoin{Process: e1}, "already joined"}, {1, EntryJoin{Process: Process{"e1", "b9"}}, ""}, {1, EntryLeave{e1}, "does not take part"}}},
		{"old run joins late", []step{join1, {1, EntryJoin{Process: Process{"e1", "b9"}}, ""}, {1, EntryJoin{Process: e1}, "2 is current"}}},
		{"gone twice", []step{join1, {1, EntryGone{e1}, ""}, {1, EntryGone{e1}, "does not take part"}}},
		{"lease", []step{join1, join2, {0, grant, ""}, {0, LeaseGrant{"groups", e2, time.Second}, "3 is current"},
			{3, grant, ""}, {5, LeaseRelease{"groups", e2}, "does not hold"}, {5, LeaseRelease{"groups", e1}, ""}}},
		{"grant from before a release", []step{join1, {0, grant, ""}, {2, LeaseRelease{"groups", e1}, ""}, {0, grant, "3 is current"}, {3, grant, ""}}},
		{"grant after the holder is gone", []step{join1, join2, {0, grant, ""}, {1, EntryGone{e1}, ""}, {3, LeaseGrant{"groups", e2, 1}, "4 is current"},
			{4, LeaseGrant{"groups", e1, 0}, "is not positive"}, {4, LeaseGrant{"groups", e2, 1}, ""}}},
		{"one group for a member", []step{{0, assign("g", "s1", "s2"), ""}, {0, assign("h", "s2", "s3"), `"s2" is in group "g"`}, {1, assign("g", "s1"), ""}, {0, assign("h", "s2"), ""}}},
		{"racing controllers", []step{{0, assign("g", "s1"), ""}, {0, assign("g", "s2"), "1 is current"}}},
		{"one fabric domain", []step{{0, GroupAssign{Group: "g", FabricDomain: "d2", Members: []Member{member("s1")}}, "fabric domain"}}},
		{"all findings", []step{{7, GroupAssign{Members: []Member{{"", "", "d"}}}, "Group: is empty; Presumes: presumes 7, but 0 is current; Members.Name: is empty; Members.BootID: is empty; Members: "}}},
		{"member twice", []step{{0, assign("g", "s1", "s1"), "named twice"}, {0, assign("g"), "no members"}}},
		{"phases", []step{{0, assign("g", "s1"), ""}, {1, GroupPhase{"g", EventLoaded}, "takes no event"}, {1, GroupPhase{"g", EventLoad}, ""},
			{1, GroupPhase{"g", EventLoad}, "takes no event"}, {1, GroupDissolve{"g"}, "has to drain"}, {1, GroupPhase{"g", EventDrain}, ""},
			{1, assign("g", "s1"), "takes no new members"}, {1, GroupDissolve{"g"}, ""}, {0, GroupDissolve{"g"}, "does not exist"}}},
		{"phase of an old epoch", []step{{0, assign("g", "s1"), ""}, {1, assign("g", "s1"), ""}, {1, GroupPhase{"g", EventLoad}, "2 is current"}}},
		{"claimed server stays apart", []step{join1, {0, assign("g", "s1"), ""}, {2, claim, ""}, {2, OrderClaim{"s1", "g", e1}, "is claimed"},
			{2, assign("g", "s1"), "is claimed"}, {2, assign("g", "s2"), ""}, {0, assign("h", "s1"), "is claimed"}, {1, EntryLeave{e1}, "still holds"}}},
		{"takeover", []step{join1, {0, assign("g", "s1"), ""}, {2, claim, ""}, {3, OrderTakeover{"s1"}, "takes part"}, {1, EntryGone{e1}, ""},
			{3, OrderTakeover{"s1"}, ""}, {2, assign("g", "s1"), "in quarantine"}, {6, SetQuarantine{Server: "s1", BootID: "x", Observed: 5}, "before its quarantine"},
			{6, SetQuarantine{Server: "s1", BootID: "x", Observed: 6}, ""}, {9, Unquarantine{Server: "s1", BootID: "y", Observed: 8}, "before its quarantine"},
			{9, Unquarantine{Server: "s1", BootID: "x", Observed: 9}, "neither"}, {9, Unquarantine{Server: "s1", BootID: "y", Observed: 9}, ""}, {2, assign("g", "s1"), ""}}},
		{"unknown outcome obeyed", []step{join1, {0, assign("g", "s1"), ""}, {2, claim, ""}, {3, OrderRelease{Server: "s1", Claimant: e2}, "does not hold"},
			{3, OrderRelease{Server: "s1", Claimant: e1}, ""}, {2, claim, "in quarantine"}, {5, Unquarantine{Server: "s1", Epoch: 2}, ""}, {2, claim, "was confirmed"}}},
		{"not sent", []step{join1, {0, assign("g", "s1"), ""}, {2, claim, ""}, {3, OrderRelease{"s1", e1, OutcomeNotSent, ""}, ""}, {2, claim, ""},
			{5, OrderRelease{"s1", e1, OutcomeApplied, ""}, ""}, {2, claim, "was confirmed"}}},
		{"claim by a stranger", []step{{0, assign("g", "s1"), ""}, {1, claim, "does not take part"}, {1, OrderClaim{"s2", "g", e1}, "not a member"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s stream
			for i, st := range tt.steps {
				wantVerdict(t, i, st, s.add(t, st.presumes, st.body))
			}
			wantRoundTrip(t, s)
		})
	}
}

func wantVerdict(t *testing.T, i int, st step, v Verdict) {
	t.Helper()
	if v.Accepted != (st.refused == "") || !strings.Contains(v.String(), st.refused) {
		t.Errorf("step %d: %s; want it refused with %q", i+1, v, st.refused)
	}
}

// wantRoundTrip passes when a restored snapshot is the same state, at the end
// and when it took part in the way there.
func wantRoundTrip(t *testing.T, s stream) {
	t.Helper()
	g := NewWithT(t)
	want, err := s.state.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	var state State
	for i, e := range s.entries {
		state, _ = state.Apply(e)
		if i%2 == 0 {
			data, err := state.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			state, err = Restore(data, 0)
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	have, err := state.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(have)).To(Equal(string(want)))
}

func TestSameID(t *testing.T) {
	g := NewWithT(t)
	var s stream
	first := s.add(t, 0, assign("g", "s1"))
	refused := s.add(t, 0, assign("h", "s1"))
	before := s.state.Groups()
	g.Expect(s.addData(s.entries[0].Data)).To(Equal(first))
	g.Expect(s.addData(s.entries[1].Data)).To(Equal(refused))
	g.Expect(s.state.Groups()).To(Equal(before))
	for i := range 5000 {
		s.add(t, 0, GroupDissolve{fmt.Sprint("x", i)})
	}
	g.Expect(len(s.state.seen.chunks)).To(BeNumerically("<=", chunksKept))
	g.Expect(s.addData(s.entries[0].Data).Accepted).To(BeFalse(), "a forgotten ID meets the preconditions")
}

func TestSnapshotRecord(t *testing.T) {
	var s stream
	v := s.addData([]byte(`{"Format":1,"ID":"a","Kind":"Snapshot","Body":{}}`))
	g := NewWithT(t)
	g.Expect(v.Skipped).To(BeTrue())
	g.Expect(v.Findings).To(BeEmpty())
	g.Expect(s.state.Offset()).To(BeEquivalentTo(1))
}

func TestNewerFormatStops(t *testing.T) {
	g := NewWithT(t)
	var s stream
	s.add(t, 0, assign("g", "s1"))
	v := s.addData([]byte(`{"Format":2,"ID":7,"Kind":[]}`))
	g.Expect(v.Skipped).To(BeTrue())
	at, behind := s.state.NewerFormat()
	g.Expect(behind).To(BeTrue())
	g.Expect(at).To(BeEquivalentTo(2))
	g.Expect(s.add(t, 1, assign("g", "s2")).Skipped).To(BeTrue())
	g.Expect(s.state.Offset()).To(BeEquivalentTo(1))
	_, err := Restore([]byte(`{"Format":2,"Table":[]}`), 0)
	g.Expect(err).To(MatchError(ErrNewerFormat))
}

func TestUnreadableRecord(t *testing.T) {
	for _, data := range []string{"", "{", "null", `{"Format":1}`, `{"Format":1,"ID":"a","Kind":"Nope"}`, `{"Format":1,"ID":"a","Kind":"GroupAssign","Body":[]}`} {
		t.Run(data, func(t *testing.T) {
			var s stream
			v := s.addData([]byte(data))
			g := NewWithT(t)
			g.Expect(v.Accepted).To(BeFalse())
			g.Expect(v.Findings).To(HaveLen(1))
			g.Expect(s.state.Offset()).To(BeEquivalentTo(1))
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, body := range []Body{assign("g", "s1"), EntryJoin{Process: e1}, OrderClaim{"s1", "g", e1}} {
		data, _ := Record{ID: "r", Body: body}.Encode()
		f.Add(data)
	}
	f.Add([]byte(`{"Format":1,"ID":"r","Kind":"EntryLeave","Body":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _ := State{}.Apply(journal.Entry{Offset: 1, Data: data})
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil || !json.Valid(again) {
			t.Fatal(err)
		}
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
