package placement

import (
	"fmt"
	"strings"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Finding is a reason for which a record was refused.
type Finding struct {
	Place   string // field of the record
	Problem string
}

func (f Finding) String() string { return f.Place + ": " + f.Problem }

// Verdict is the result of applying a log entry and its record.
type Verdict struct {
	Offset   journal.Offset
	ID       string
	Kind     Kind
	Accepted bool
	Skipped  bool // not applied: applied before, a snapshot, or at or after an entry of a newer format
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

func (c *change) refuse(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{field, fmt.Sprintf(format, args...)})
}

// checkPresumes refuses the record unless it presumes the current offset.
func (c *change) checkPresumes(current journal.Offset) {
	if c.record.Presumes != current {
		c.refuse("Presumes", "presumes %d, but %d is current", c.record.Presumes, current)
	}
}

// requireNonEmpty refuses the record if the value is empty.
func (c *change) requireNonEmpty(field, value string) {
	if value == "" {
		c.refuse(field, "is empty")
	}
}

// verdictHistory holds the verdicts on the newest records. All chunks but the last
// are full and never change, so that copies of a state share them.
type verdictHistory struct {
	chunks [][]Verdict
}

const (
	chunkVerdicts = 32
	maxChunks     = 32
)

func (h verdictHistory) find(id string) (Verdict, bool) {
	for i := len(h.chunks) - 1; i >= 0; i-- {
		for _, v := range h.chunks[i] {
			if v.ID == id {
				return v, true
			}
		}
	}
	return Verdict{}, false
}

func (h verdictHistory) with(v Verdict) verdictHistory {
	chunks := h.chunks
	var last []Verdict
	if n := len(chunks); n > 0 && len(chunks[n-1]) < chunkVerdicts {
		last = chunks[n-1]
		chunks = chunks[:n-1]
	}
	if len(chunks) == maxChunks {
		chunks = chunks[1:]
	}
	next := make([][]Verdict, 0, len(chunks)+1)
	next = append(next, chunks...)
	last = append(last[:len(last):len(last)], v)
	return verdictHistory{append(next, last)}
}
