package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Offset is the position of an entry in one stream of the log. The first
// entry of a stream has offset 1; 0 means "no entry".
type Offset int64

// Entry is an element of a stream as the log stores it.
type Entry struct {
	Offset Offset
	Time   time.Time // when the log service accepted the entry, by its clock
	Data   []byte
}

// Page is the result of one read of a stream.
type Page struct {
	Entries []Entry
	First   Offset // oldest offset that the stream still has, or Next if it has none
	Next    Offset // offset that the next appended entry will get
}

// ErrOutcomeUnknown reports that an append may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("append outcome is unknown")

// ErrUnavailable reports that the log service did not accept the call, so the
// call had no effect.
var ErrUnavailable = errors.New("log service is unavailable")

// ErrExpired reports that the entry at the requested offset has expired.
var ErrExpired = errors.New("offset is older than the stream's retention")

// Log gives access to the platform's append-only log. The daemon sets its fields
// to the methods of an HTTP client, tests to functions of their own.
type Log struct {
	// Append appends an entry with the data to the stream and returns its
	// offset. An error is ErrUnavailable (no effect) or ErrOutcomeUnknown (may
	// have taken effect).
	Append func(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns at most limit entries, beginning at the offset from. If there
	// are none yet, it waits for one, at most for the duration wait. With
	// ErrExpired the page has no entries, but First and Next are set. Any other
	// error is ErrUnavailable.
	Read func(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
