package fleet

import (
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Verdict is the state machine's decision to accept or refuse a record.
type Verdict struct {
	Offset   journal.Offset // of the record's first copy
	ID       string         `json:",omitempty"` // empty if the entry is not a record
	Kind     Kind
	Accepted bool     `json:",omitempty"`
	Repeat   bool     `json:"-"` // the record is a later copy, which changed nothing
	Winner   Version  `json:",omitzero"`
	Findings Findings `json:",omitempty"` // why the record was refused
}

// Conflict returns the version that the record lost to. It returns false unless the
// record was refused because another one had changed or removed the item before.
func (v Verdict) Conflict() (Version, bool) {
	return v.Winner, v.Winner != Version{}
}

// Err returns the findings of a refused record, or nil if it was accepted.
func (v Verdict) Err() error {
	if v.Accepted {
		return nil
	}
	return v.Findings
}

// String returns the verdict as one line for logs.
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

// refuse returns the verdict with a finding added.
func (v Verdict) refuse(key, format string, args ...any) Verdict {
	v.Findings = append(v.Findings, Finding{Key: key, Message: fmt.Sprintf(format, args...)})
	return v
}
