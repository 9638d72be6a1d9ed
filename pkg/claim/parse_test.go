package claim

import (
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

func TestParseKey(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"version 7", "018f4e2a-7c00-7abc-8def-0123456789ab", ""},
		{"upper case", "018F4E2A-7C00-7ABC-8DEF-0123456789AB", ""},
		{"empty", "", "has 0 bytes"},
		{"braces", "{018f4e2a-7c00-7abc-8def-0123456789ab}", "has 38 bytes"},
		{"not hexadecimal", "018f4e2a-7c00-7abc-8def-0123456789ag", "is not a UUID"},
		{"version 4", "018f4e2a-7c00-4abc-8def-0123456789ab", "version 4, want 7"},
		{"other variant", "018f4e2a-7c00-7abc-cdef-0123456789ab", "has variant"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := ParseKey(test.text)
			if test.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ContainSubstring(test.want)))
		})
	}
}

func ExampleKey_Time() {
	key, err := NewKey("library", "orders", "018f4e2a-7c00-7abc-8def-0123456789ab")
	fmt.Println(key.Time().UTC().Format(time.RFC3339), err)
	// Output: 2024-05-06T13:49:18Z <nil>
}

func FuzzParseKey(f *testing.F) {
	f.Add("018f4e2a-7c00-7abc-8def-0123456789ab")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseKey(text)
		if err != nil {
			return
		}
		reparsed, err := ParseKey(id.String())
		if err != nil || reparsed != id {
			t.Fatalf("%q became %v, %v", text, reparsed, err)
		}
	})
}

func FuzzParseBatch(f *testing.F) {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	answer := NewAnswer(200, http.Header{"Location": {"/1"}}, []string{"location"}, []byte("body"), 10)
	data, _ := Batch{Claimant: "a", Records: []Record{
		{Kind: RecordClaim, Key: Key{ID: id}, Claim: id, Digest: DigestOf()},
		{Kind: RecordComplete, Key: Key{ID: id}, Claim: id, Answer: &answer},
	}}.Encode()
	f.Add(data)
	f.Add([]byte(`{"Format":2}`))
	f.Add([]byte(`{"Format":1,"Records":[{"Kind":"Later"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := ParseBatch(data)
		var s Shard
		applyErr := s.Apply(journal.Entry{Offset: 1, Data: data})
		if (applyErr != nil) != errors.Is(err, ErrNewerFormat) {
			t.Fatalf("Apply returned %v, ParseBatch %v", applyErr, err)
		}
		if err != nil {
			return
		}
		encoded, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := ParseBatch(encoded)
		b.Format = Format
		if err != nil || len(decoded.Records) != len(b.Records) || !reflect.DeepEqual(batchKeys(b), batchKeys(decoded)) {
			t.Fatalf("%v became %v, %v", b, decoded, err)
		}
	})
}

func batchKeys(b Batch) []Key {
	var list []Key
	for _, r := range b.Records {
		list = append(list, r.Key)
	}
	return list
}

func TestShardMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := Shard{Window: time.Hour, MaxAnswerBytes: 100}
	start := time.Unix(1_800_000_000, 0)
	var last Key
	for n := range 1000 {
		at := start.Add(time.Duration(n) * time.Minute)
		last = keyAt(at, n)
		answer := NewAnswer(200, nil, nil, make([]byte, 30), 30)
		claim := uuid.UUID{byte(n), byte(n >> 8), 1}
		data, err := Batch{Records: []Record{
			{Kind: RecordClaim, Key: last, Claim: claim},
			{Kind: RecordComplete, Key: last, Claim: claim, Answer: &answer},
		}}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Apply(journal.Entry{Offset: journal.Offset(n + 1), Time: at, Data: data})).To(Succeed())
		g.Expect(s.AnswerBytes()).To(BeNumerically("<=", 100))
	}
	g.Expect(s.KeyCount()).To(BeNumerically("<=", 65))
	g.Expect(s.Lookup(last).Answer.Kept).To(BeTrue())
	older := s.Lookup(keyAt(start.Add(990*time.Minute), 990))
	g.Expect(older.State).To(Equal(StateComplete))
	g.Expect(older.Answer.Kept).To(BeFalse(), "the body of an older answer is still kept")
	g.Expect(s.Lookup(keyAt(start, 0)).State).To(Equal(StateExpired))
}

func keyAt(at time.Time, n int) Key {
	ms := at.UnixMilli()
	id := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms)}
	id[14], id[15] = byte(n>>8), byte(n)
	return Key{ID: id}
}

// TestClaimAtCoverageBoundary claims a key as early as a claim can be valid, in an entry
// that a late reader misses. The next entry has the same time. The late reader must not
// take the key as free if the claim holds it.
func TestClaimAtCoverageBoundary(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, ahead := range []time.Duration{-time.Millisecond, 0, time.Millisecond} {
		t.Run(ahead.String(), func(t *testing.T) {
			g := NewWithT(t)
			key := keyAt(start.Add(DefaultSkewMargin+ahead), 1)
			data, err := Batch{Records: []Record{{Kind: RecordClaim, Key: key, Claim: uuid.UUID{1}}}}.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			var full, late Shard
			g.Expect(full.Apply(journal.Entry{Offset: 1, Time: start, Data: data})).To(Succeed())
			late.Skip(2, start)
			g.Expect(late.Apply(journal.Entry{Offset: 2, Time: start, Data: []byte("{}")})).To(Succeed())
			held := full.Lookup(key).State == StateRunning
			known := late.Lookup(key).State != StateExpired
			g.Expect(held && known).To(BeFalse(), "the late reader takes a held key as free")
		})
	}
}

// TestEarlyClaimIsIgnored appends a claim too early and then again in time. A reader that
// missed the first entry has to agree with one that read it.
func TestEarlyClaimIsIgnored(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_800_000_000, 0)
	key := keyAt(start.Add(3*time.Minute), 1)
	entry := func(offset int, at time.Duration, ids ...byte) journal.Entry {
		var b Batch
		for _, id := range ids {
			b.Records = append(b.Records, Record{Kind: RecordClaim, Key: key, Claim: uuid.UUID{id}})
		}
		data, err := b.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		return journal.Entry{Offset: journal.Offset(offset), Time: start.Add(at), Data: data}
	}
	var full, late Shard
	g.Expect(full.Apply(entry(1, 0, 1))).To(Succeed())
	late.Skip(2, start)
	for _, e := range []journal.Entry{entry(2, time.Second), entry(3, 150*time.Second, 1, 2)} {
		g.Expect(full.Apply(e)).To(Succeed())
		g.Expect(late.Apply(e)).To(Succeed())
	}
	g.Expect(full.Lookup(key).State).To(Equal(StateRunning))
	g.Expect(late.Lookup(key)).To(Equal(full.Lookup(key)))
}
