package platform

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

func TestParsePage(t *testing.T) {
	tests := []struct {
		name string
		body string
		from journal.Offset
		ok   bool
	}{
		{"two entries", `{"Entries":[{"Offset":3},{"Offset":4}],"First":2,"Next":5}`, 3, true},
		{"empty", `{"First":5,"Next":5}`, 5, true},
		{"from offset 0", `{"Entries":[{"Offset":1}],"First":1,"Next":2}`, 0, true},
		{"skipped entry", `{"Entries":[{"Offset":3},{"Offset":5}],"First":1,"Next":6}`, 3, false},
		{"begins after the requested offset", `{"Entries":[{"Offset":4}],"First":1,"Next":5}`, 3, false},
		{"entry before the first offset", `{"Entries":[{"Offset":3}],"First":4,"Next":5}`, 3, false},
		{"entry at the next offset", `{"Entries":[{"Offset":3}],"First":1,"Next":3}`, 3, false},
		{"no bounds", `{}`, 1, false},
		{"not JSON", `offset 3`, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parsePage([]byte(tt.body), tt.from)
			NewWithT(t).Expect(err == nil).To(Equal(tt.ok), "%v", err)
		})
	}
}

// FuzzParsePage checks that an accepted page skips no entry.
func FuzzParsePage(f *testing.F) {
	f.Add([]byte(`{"Entries":[{"Offset":3,"Data":"eA=="}],"First":2,"Next":5}`), int64(3))
	f.Fuzz(func(t *testing.T, body []byte, from int64) {
		g := NewWithT(t)
		page, err := parsePage(body, journal.Offset(from))
		if err != nil {
			return
		}
		g.Expect(page.First).To(BeNumerically("<=", page.Next))
		for i, entry := range page.Entries {
			g.Expect(entry.Offset).To(Equal(journal.Offset(max(from, 1) + int64(i))))
			g.Expect(entry.Offset).To(BeNumerically("<", page.Next))
		}
	})
}
