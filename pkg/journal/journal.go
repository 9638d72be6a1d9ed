package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Offset is the position of an entry in one stream of the log. The first
// entry of a stream has offset 1; 0 means "no entry".
type Offset int64

// Entry is one record as the log stores it.
type Entry struct {
	Offset Offset
	Time   time.Time // the log service's clock when it accepted the entry
	Data   []byte
}

// Page is one read of a stream.
type Page struct {
	Entries []Entry
	First   Offset // oldest offset the stream still keeps, or Next when it keeps none
	Next    Offset // offset that the next appended entry will get
}

// ErrOutcomeUnknown reports that the append may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("append outcome is unknown")

// ErrUnavailable reports that the log service did not take the call, so the
// call had no effect.
var ErrUnavailable = errors.New("log service is unavailable")

// ErrExpired reports that the offset asked for is older than the retention.
var ErrExpired = errors.New("offset is older than the stream's retention")

// Log gives access to the platform's append-only log. Its fields are seams: the
// daemon fills them with an HTTP client, tests with functions of their own.
type Log struct {
	// Append adds data to the stream and returns its offset. An error is
	// ErrUnavailable (no effect) or ErrOutcomeUnknown (may have taken effect).
	Append func(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns entries from the offset on, at most limit of them. When there
	// are none yet it waits up to wait for one. With ErrExpired the page has no
	// entries, but First and Next are set. Any other error is ErrUnavailable.
	Read func(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
