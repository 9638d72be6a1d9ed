package journal

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// UnknownError reports that a record may or may not be on the log, or may get
// there later. Writer.Resolve goes on looking for it.
type UnknownError struct {
	Stream string
	Record Record
	Cause  error // error of the last attempt
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("record %q may or may not be on stream %q: %v", e.Record.ID, e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Is reports that the outcome of the append is unknown.
func (e *UnknownError) Is(target error) bool { return target == ErrOutcomeUnknown }

// defaultAttempts is how often a Writer appends a record.
const defaultAttempts = 4

// Writer appends records whose readers fold a second copy to nothing.
type Writer struct {
	Log      Log
	Attempts int            // appends of one record at most, 0 counts as 4
	RetryMin time.Duration  // first pause between attempts, 0 counts as 100 ms
	RetryMax time.Duration  // longest pause between attempts, 0 counts as 2 s
	Jitter   func() float64 // in [0,1), nil stands for math/rand
}

// Append appends the record and returns the offset of its first copy, or of
// another one when the log cannot be read to find the first. The
// record's After has to be an offset that the stream had reached before. When
// an answer is lost, Append reads on from there to find the record, and appends
// it again when it is not there yet. An error is ErrUnavailable, when the record
// is certainly not on the log and will not be, or a *UnknownError.
func (w *Writer) Append(ctx context.Context, stream string, r Record) (Offset, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	var unknown *UnknownError
	pauses := w.pauses()
	for attempt := 1; ; attempt++ {
		at, err := w.Log.Append(ctx, stream, data)
		if err == nil && unknown == nil {
			return at, nil
		}
		if err == nil {
			return w.firstCopy(ctx, unknown, at), nil
		}
		if !errors.Is(err, ErrUnavailable) || unknown != nil {
			unknown = &UnknownError{Stream: stream, Record: r, Cause: err}
			if first, found := w.find(ctx, unknown); found {
				return first, nil
			}
		}
		last := attempt >= w.attempts()
		if !last {
			last = sleep(ctx, pauses.next()) != nil
		}
		if last && unknown != nil {
			return 0, unknown
		}
		if last {
			return 0, errors.Wrapf(err, "append record %q to stream %q", r.ID, stream)
		}
	}
}

// Resolve waits until the record turns up on the log and returns the offset of
// its first copy. It appends nothing, so it may end only with the context,
// with the same *UnknownError.
func (w *Writer) Resolve(ctx context.Context, unknown *UnknownError) (Offset, error) {
	pauses := w.pauses()
	for {
		if at, found := w.find(ctx, unknown); found {
			return at, nil
		}
		if sleep(ctx, pauses.next()) != nil {
			return 0, unknown
		}
	}
}

// firstCopy returns the offset of the first copy of a record that earlier
// attempts may have appended too.
func (w *Writer) firstCopy(ctx context.Context, unknown *UnknownError, at Offset) Offset {
	if first, found := w.find(ctx, unknown); found {
		return first
	}
	return at
}

// find reads from the record's After to the log's end for its first copy.
func (w *Writer) find(ctx context.Context, unknown *UnknownError) (Offset, bool) {
	for from := unknown.Record.After + 1; ; {
		page, err := w.Log.Read(ctx, unknown.Stream, from, pageEntries, 0)
		if err != nil {
			unknown.Cause = errors.CombineErrors(err, unknown.Cause)
			return 0, false
		}
		for _, e := range page.Entries {
			var found struct{ ID string }
			if json.Unmarshal(e.Data, &found) == nil && found.ID == unknown.Record.ID {
				return e.Offset, true
			}
		}
		from += Offset(len(page.Entries))
		if len(page.Entries) == 0 || from >= page.Next {
			return 0, false
		}
	}
}

func (w *Writer) attempts() int {
	return cmp.Or(w.Attempts, defaultAttempts)
}

func (w *Writer) pauses() backoff {
	return backoff{
		min:    cmp.Or(w.RetryMin, defaultRetryMin),
		max:    cmp.Or(w.RetryMax, defaultRetryMax),
		jitter: w.Jitter,
	}
}
