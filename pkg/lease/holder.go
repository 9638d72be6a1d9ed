package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// ErrLapsed reports that the lease is not held, or is no longer certain to be.
var ErrLapsed = errors.New("lease is not held")

// marginShare is the part of a lease's duration that its holder gives up, so
// that clocks may differ in rate by as much.
const marginShare = 10

// guard is a set of checks that tests switch off, to show that each matters.
type guard int

const (
	guardBegun guard = 1 << iota // a lease counts from before its append
	guardWait                    // another's lease is replaced only after its duration
	guardCheck                   // an act is checked against the clock
	guardKept                    // a grant on its way counts from its append, also after a release
)

// Holder holds one duty for one process, as far as the log grants it. It is
// safe for concurrent use.
type Holder struct {
	Duty     string
	Self     placement.Process
	Duration time.Duration
	Now      func() time.Time // monotonic; nil stands for time.Now
	NewID    func() string    // IDs of records

	disabled guard
	mu       sync.Mutex
	attempt  *attempt
	fence    journal.Offset // of the own grant
	begun    time.Time      // when the own grant's append began
	until    time.Time      // when the own grant lapses
	seen     journal.Offset // newest grant that was observed
	seenAt   time.Time
}

// attempt is an own grant whose place on the log is not known yet.
type attempt struct {
	record placement.Record
	begun  time.Time
}

func (h *Holder) now() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}

func (h *Holder) on(g guard) bool { return h.disabled&g == 0 }

// Step returns the record to append now, if any: to acquire, renew or release
// the lease. alive names the members that the duty is spread over. After a lost
// answer it returns the same record again, until the state shows what became of
// it.
func (h *Holder) Step(s placement.State, alive []string) (placement.Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	lease, held := s.Lease(h.Duty)
	h.observe(now, lease)
	mine := held && lease.Holder == h.Self
	wanted := Owner(h.Duty, alive) == h.Self.Name && s.Member(h.Self)
	switch {
	case mine && !wanted:
		return h.release(lease), true
	case !wanted:
		return placement.Record{}, false
	case h.attempt != nil:
		return h.attempt.record, true
	case mine && now.Sub(h.begun) < h.Duration/2:
		return placement.Record{}, false
	case held && !mine && now.Sub(h.seenAt) < lease.Duration && h.on(guardWait):
		return placement.Record{}, false
	}
	return h.grant(now, lease), true
}

// observe notes a grant that was not seen before.
func (h *Holder) observe(now time.Time, l placement.Lease) {
	if l.Fence != h.seen {
		h.seen = l.Fence
		h.seenAt = now
	}
	if l.Holder != h.Self {
		h.until = time.Time{}
	}
	if h.attempt == nil || l.Fence == h.attempt.record.Presumes {
		return
	}
	if l.Holder == h.Self {
		h.fence = l.Fence
		h.begun = h.attempt.begun
		if !h.on(guardBegun) {
			h.begun = now
		}
		h.until = h.begun.Add(h.Duration - h.Duration/marginShare)
	}
	h.attempt = nil
}

func (h *Holder) grant(now time.Time, l placement.Lease) placement.Record {
	r := placement.Record{
		ID:       h.NewID(),
		Presumes: l.Fence,
		Writer:   h.Self.Name,
		Body:     placement.LeaseGrant{Duty: h.Duty, Holder: h.Self, Duration: h.Duration},
	}
	h.attempt = &attempt{r, now}
	return r
}

// release stops acting at once and gives the lease back. An own grant that is
// still on its way is kept: it may come first, and counts from its own append.
func (h *Holder) release(l placement.Lease) placement.Record {
	h.until = time.Time{}
	if !h.on(guardKept) {
		h.attempt = nil
	}
	return placement.Record{
		ID:       h.NewID(),
		Presumes: l.Fence,
		Writer:   h.Self.Name,
		Body:     placement.LeaseRelease{Duty: h.Duty, Holder: h.Self},
	}
}

// Held reports whether the lease is held now, and its fencing number.
func (h *Holder) Held() (journal.Offset, bool) {
	fence, left := h.left()
	return fence, left > 0
}

func (h *Holder) left() (journal.Offset, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.until.Sub(h.now())
}

// Act runs the function with the lease's fencing number, unless the lease has
// lapsed. The function's context ends when the lease lapses. The check comes
// right before the act, yet the process may pause between the two: the act has
// to be safe by its fencing number or by the log.
func (h *Holder) Act(ctx context.Context, fn func(ctx context.Context, fence journal.Offset) error) error {
	fence, left := h.left()
	if left <= 0 && h.on(guardCheck) {
		return errors.Wrapf(ErrLapsed, "duty %q", h.Duty)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return fn(ctx, fence)
}
