package fleet

import (
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Verdict is what the state machine decided about a record.
type Verdict struct {
	Offset   journal.Offset // of the record's first copy
	ID       string         `json:",omitempty"` // empty when the entry is no record
	Kind     Kind
	Accepted bool     `json:",omitempty"`
	Repeat   bool     `json:"-"` // this is a later copy, which changed nothing
	Winner   Version  `json:",omitzero"`
	Findings Findings `json:",omitempty"` // why the record was refused
}

// Conflict returns the version that the record lost to, when it was refused
// because another record had changed the item it presumed.
func (v Verdict) Conflict() (Version, bool) {
	return v.Winner, v.Winner != Version{}
}

// Err returns why the record was refused, or nil.
func (v Verdict) Err() error {
	if v.Accepted {
		return nil
	}
	return v.Findings
}

// String returns one line for logs.
func (v Verdict) String() string {
	outcome := "refused"
	if v.Accepted {
		outcome = "accepted"
	}
	if v.Repeat {
		outcome += ", repeat"
	}
	return fmt.Sprintf("%s %q at offset %d: %s", v.Kind, v.ID, v.Offset, outcome)
}

// refuse returns the verdict with a finding.
func (v Verdict) refuse(key, format string, args ...any) Verdict {
	v.Findings = append(v.Findings, Finding{Key: key, Message: fmt.Sprintf(format, args...)})
	return v
}
