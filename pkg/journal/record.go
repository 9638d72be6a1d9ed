package journal

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// KindSnapshot is the kind of a record whose body is a snapshot of the
// stream's state. The snapshot replaces every entry up to Presumes, and is
// valid only if its own offset is the one right after Presumes.
const KindSnapshot = "Snapshot"

// Record is the envelope of an entry on a stream that replicas apply.
type Record struct {
	// Format is the version of the record's kinds and their fields. The envelope
	// is the same in every format.
	Format int
	// ID is random. If a retried append stores a record twice, both copies have
	// the same ID.
	ID string
	// Kind names the change that the record makes.
	Kind string
	// Presumes is the offset of the version that the record replaces, or 0 if
	// there is none.
	Presumes Offset `json:",omitempty"`
	// After is an offset that the stream had reached before the record was
	// first appended, so every copy of the record has a higher offset.
	After Offset `json:",omitempty"`
	// Writer names the operator or instance that wrote the record.
	Writer string `json:",omitempty"`
	// Body holds the fields that are specific to the kind.
	Body json.RawMessage `json:",omitempty"`
}

// FormatError reports a record whose format is newer than the reader supports.
type FormatError struct {
	Format  int // format of the record
	Highest int // highest format that the reader supports
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("record has format %d, this release reads up to format %d", e.Format, e.Highest)
}

// NewID returns a random record ID.
func NewID() string {
	return uuid.NewString()
}

// Encode returns the record as JSON, the form in which the log stores it.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrapf(err, "encode record %q of kind %s", r.ID, r.Kind)
	}
	return data, nil
}

// DecodeRecord decodes a record without its body. It returns a *FormatError if
// the record's format is above highest, even if the rest cannot be decoded.
func DecodeRecord(data []byte, highest int) (Record, error) {
	var format struct{ Format int }
	if err := json.Unmarshal(data, &format); err == nil && format.Format > highest {
		return Record{}, &FormatError{Format: format.Format, Highest: highest}
	}
	var r Record
	if err := decodeStrict(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if r.Format <= 0 {
		return Record{}, errors.Newf("record %q has no format", r.ID)
	}
	if r.ID == "" {
		return Record{}, errors.Newf("record of kind %q has no ID", r.Kind)
	}
	return r, nil
}

// SnapshotOf returns the body of the entry's record and true if the entry is a
// valid snapshot, which includes the effect of every entry before it.
func SnapshotOf(e Entry, highest int) (data []byte, ok bool) {
	r, err := DecodeRecord(e.Data, highest)
	if err != nil || r.Kind != KindSnapshot || r.Presumes != e.Offset-1 {
		return nil, false
	}
	return r.Body, true
}
