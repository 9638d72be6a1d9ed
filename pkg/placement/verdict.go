package placement

import (
	"fmt"
	"strings"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Finding is one reason why a record was refused.
type Finding struct {
	Place   string // field of the record
	Problem string
}

func (f Finding) String() string { return f.Place + ": " + f.Problem }

// Verdict is what became of a record.
type Verdict struct {
	Offset   journal.Offset
	ID       string
	Kind     Kind
	Accepted bool
	Skipped  bool // not applied: applied before, a snapshot, or after an entry of a newer format
	Findings []Finding
}

func (v Verdict) String() string {
	if v.Accepted {
		return fmt.Sprintf("%s at %d accepted", v.Kind, v.Offset)
	}
	if v.Skipped {
		return fmt.Sprintf("entry at %d skipped", v.Offset)
	}
	findings := make([]string, len(v.Findings))
	for i, f := range v.Findings {
		findings[i] = f.String()
	}
	return fmt.Sprintf("%s at %d refused: %s", v.Kind, v.Offset, strings.Join(findings, "; "))
}

func (c *change) refuse(place, format string, args ...any) {
	c.findings = append(c.findings, Finding{place, fmt.Sprintf(format, args...)})
}

// presumes refuses the record unless it presumes the offset.
func (c *change) presumes(current journal.Offset) {
	if c.record.Presumes != current {
		c.refuse("Presumes", "presumes %d, but %d is current", c.record.Presumes, current)
	}
}

// require refuses an empty value.
func (c *change) require(place, value string) {
	if value == "" {
		c.refuse(place, "is empty")
	}
}

// memory holds the verdicts of the newest records. It is a list of full chunks
// and a last one that grows, so that copies share what they can.
type memory struct {
	chunks [][]Verdict
}

const (
	chunkVerdicts = 32
	chunksKept    = 32
)

func (m memory) find(id string) (Verdict, bool) {
	for i := len(m.chunks) - 1; i >= 0; i-- {
		for _, v := range m.chunks[i] {
			if v.ID == id {
				return v, true
			}
		}
	}
	return Verdict{}, false
}

func (m memory) with(v Verdict) memory {
	chunks := m.chunks
	var last []Verdict
	if n := len(chunks); n > 0 && len(chunks[n-1]) < chunkVerdicts {
		last = chunks[n-1]
		chunks = chunks[:n-1]
	}
	if len(chunks) == chunksKept {
		chunks = chunks[1:]
	}
	next := make([][]Verdict, 0, len(chunks)+1)
	next = append(next, chunks...)
	last = append(last[:len(last):len(last)], v)
	return memory{append(next, last)}
}
