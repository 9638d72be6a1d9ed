package journal

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// KindSnapshot is the kind of a record whose body is a snapshot of the
// stream's state. The snapshot stands for every entry up to Presumes, and is
// valid only when its own offset is the one right after Presumes.
const KindSnapshot = "Snapshot"

// Record is the envelope of an entry on a stream that replicas fold.
type Record struct {
	// Format is the number of the field set and the kinds that the record
	// uses. Every Format keeps this envelope.
	Format int
	// ID is random and the same in every copy of the record.
	ID string
	// Kind names what the record does.
	Kind string
	// Presumes is the offset of the version that the record replaces, 0 for none.
	Presumes Offset `json:",omitempty"`
	// After is an offset that the stream had reached before the record was
	// first appended, so every copy of the record lies behind it.
	After Offset `json:",omitempty"`
	// Writer names the operator or instance that wrote the record.
	Writer string `json:",omitempty"`
	// Body holds the fields of the kind.
	Body json.RawMessage `json:",omitempty"`
}

// FormatError reports a record whose format is newer than the reader's.
type FormatError struct {
	Format  int // format of the record
	Highest int // highest format that the reader knows
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("record has format %d, this release reads up to format %d", e.Format, e.Highest)
}

// NewID returns a random record ID.
func NewID() string {
	return uuid.NewString()
}

// Encode returns the record as the log stores it.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrapf(err, "encode record %q of kind %s", r.ID, r.Kind)
	}
	return data, nil
}

// DecodeRecord reads an envelope. It returns a *FormatError when the record's
// format is above highest, whatever the rest of the record looks like.
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

// SnapshotOf returns the body of the entry when the entry is a valid snapshot:
// its state stands for every entry before it.
func SnapshotOf(e Entry, highest int) (data []byte, ok bool) {
	r, err := DecodeRecord(e.Data, highest)
	if err != nil || r.Kind != KindSnapshot || r.Presumes != e.Offset-1 {
		return nil, false
	}
	return r.Body, true
}
