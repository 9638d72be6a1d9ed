package journal

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// UnknownError reports that a record may or may not be on the log, or may be
// appended to it later. Pass it to Writer.Resolve to wait for the record.
type UnknownError struct {
	Stream string
	Record Record
	Cause  error // error of the last attempt
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("record %q may or may not be on stream %q: %v", e.Record.ID, e.Stream, e.Cause)
}

// Unwrap returns e.Cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Is makes an UnknownError match ErrOutcomeUnknown.
func (e *UnknownError) Is(target error) bool { return target == ErrOutcomeUnknown }

// defaultAttempts limits the appends of one record when Writer.Attempts is 0.
const defaultAttempts = 4

// Writer appends records to the log. It may append a record twice, so readers
// have to ignore a second copy.
type Writer struct {
	Log      Log
	Attempts int            // maximum number of appends of one record; 0 means 4
	RetryMin time.Duration  // first delay between attempts; 0 means 100 ms
	RetryMax time.Duration  // maximum delay between attempts; 0 means 2 s
	Jitter   func() float64 // random number in [0,1); nil means math/rand
}

// Append appends the record and returns the offset of its first copy, or of a
// later copy if the log cannot be read to find the first. The record's After has
// to be an offset that the stream had reached before. If the response to an
// append is lost, Append searches the stream for the record from After on, and
// appends it again if it is not there. An error is ErrUnavailable if the record
// is certainly not on the log and never will be, else a *UnknownError.
func (w *Writer) Append(ctx context.Context, stream string, r Record) (Offset, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	var unknown *UnknownError
	retry := w.newBackoff()
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
		giveUp := attempt >= w.attempts()
		if !giveUp {
			giveUp = sleep(ctx, retry.next()) != nil
		}
		if giveUp && unknown != nil {
			return 0, unknown
		}
		if giveUp {
			return 0, errors.Wrapf(err, "append record %q to stream %q", r.ID, stream)
		}
	}
}

// Resolve waits until the record is on the log and returns the offset of its
// first copy. Since it appends nothing, it may wait until the context ends; it
// then returns the same *UnknownError.
func (w *Writer) Resolve(ctx context.Context, unknown *UnknownError) (Offset, error) {
	retry := w.newBackoff()
	for {
		if at, found := w.find(ctx, unknown); found {
			return at, nil
		}
		if sleep(ctx, retry.next()) != nil {
			return 0, unknown
		}
	}
}

// firstCopy returns the offset of the first copy of a record that earlier
// attempts may also have appended, or at if it cannot be found.
func (w *Writer) firstCopy(ctx context.Context, unknown *UnknownError, at Offset) Offset {
	if first, found := w.find(ctx, unknown); found {
		return first
	}
	return at
}

// find searches for the record's first copy from its After to the log's end.
func (w *Writer) find(ctx context.Context, unknown *UnknownError) (Offset, bool) {
	for from := unknown.Record.After + 1; ; {
		page, err := w.Log.Read(ctx, unknown.Stream, from, maxPageEntries, 0)
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

func (w *Writer) newBackoff() backoff {
	return backoff{
		min:    cmp.Or(w.RetryMin, defaultRetryMin),
		max:    cmp.Or(w.RetryMax, defaultRetryMax),
		jitter: w.Jitter,
	}
}
