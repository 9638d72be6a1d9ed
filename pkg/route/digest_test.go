package route

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestCacheEvents(t *testing.T) {
	tests := []struct {
		name   string
		events []Event
		want   int // blocks of 1, 2, 3, 4 that are matched
	}{
		{name: "none"},
		{name: "stored", events: []Event{{Seq: 1, Stored: []uint64{1, 2, 3}}}, want: 3},
		{name: "removed", events: []Event{{Seq: 1, Stored: []uint64{1, 2, 3}}, {Seq: 2, Removed: []uint64{3}}}, want: 2},
		{name: "lost event with middle blocks", events: []Event{{Seq: 1, Stored: []uint64{1}}, {Seq: 3, Stored: []uint64{4}}}, want: 4},
		{name: "lost event with the first block", events: []Event{{Seq: 2, Stored: []uint64{2, 3}}}, want: 3},
		{name: "uncertain after a gap", events: []Event{{Seq: 1, Stored: []uint64{1, 2, 3, 4}}, {Seq: 5}}, want: 2},
		{name: "late repetition", events: []Event{{Seq: 2, Stored: []uint64{1}}, {Seq: 2, Removed: []uint64{1}}}, want: 1},
		{name: "cleared", events: []Event{{Seq: 1, Stored: []uint64{1}}, {Seq: 2, Cleared: true}}},
		{name: "restarted", events: []Event{{Seq: 9, Stored: []uint64{1}}, {Boot: "b2", Seq: 1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Cache
			for _, e := range tt.events {
				c.Apply(e)
			}
			NewWithT(t).Expect(c.Digest().Match([]uint64{1, 2, 3, 4})).To(Equal(tt.want))
		})
	}
}

func TestCacheIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := Cache{MaxBlocks: 10}
	for h := range uint64(1000) {
		c.MarkExpected("b", []uint64{h})
	}
	g.Expect(len(c.blocks)).To(BeNumerically("<=", 10))
	g.Expect(len(c.order)).To(BeNumerically("<=", 20))
	g.Expect(c.Digest().Match([]uint64{999})).To(Equal(1))
}

func FuzzBlocks(f *testing.F) {
	f.Add([]byte("a common start and more"), 8, 3)
	f.Fuzz(func(t *testing.T, prompt []byte, size, cut int) {
		if size <= 0 || size > 1<<10 || cut < 0 || cut > len(prompt) {
			return
		}
		whole := Blocks(nil, prompt, size)
		part := Blocks(nil, prompt[:cut], size)
		if len(whole) != len(prompt)/size || len(part) != cut/size {
			t.Fatalf("%d and %d blocks", len(whole), len(part))
		}
		for i := range part {
			if part[i] != whole[i] {
				t.Fatalf("block %d of a common prefix differs", i)
			}
		}
	})
}
