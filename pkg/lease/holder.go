package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// ErrLapsed means that this process doesn't hold the lease, or that the lease may
// have lapsed.
var ErrLapsed = errors.New("lease is not held")

// marginDivisor sets the safety margin: the holder stops using a lease when
// 1/marginDivisor of its duration is left, which allows clock rates to differ by the
// same fraction.
const marginDivisor = 10

// guard is a set of safety checks. Tests disable single checks to show that each is
// needed.
type guard int

const (
	guardCountFromAppend guard = 1 << iota // a lease's duration counts from before the append of its grant
	guardWaitForExpiry                     // another process's lease is replaced only after its duration has passed
	guardCheckExpiry                       // Act checks the lease against the clock
	guardKeepPending                       // a pending grant counts from its own append, even after a release
)

// Holder acquires, renews and releases the lease of one duty for one process. It is
// safe for concurrent use.
type Holder struct {
	Duty     string
	Self     placement.Process
	Duration time.Duration
	Now      func() time.Time // monotonic clock; nil means time.Now
	NewID    func() string    // returns a unique ID for a record

	disabled      guard
	mu            sync.Mutex
	pending       *pendingGrant
	fence         journal.Offset // fencing number of this process's newest grant
	appendStart   time.Time      // when the append of this process's newest grant began
	expiry        time.Time      // when this process stops using the lease; zero if it doesn't hold it
	observedFence journal.Offset // offset of the newest grant or release that was observed
	observedAt    time.Time
}

// pendingGrant is a grant of this process that the log may have accepted, but whose
// outcome the state doesn't show yet.
type pendingGrant struct {
	record      placement.Record
	appendStart time.Time
}

func (h *Holder) now() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}

func (h *Holder) on(g guard) bool { return h.disabled&g == 0 }

// Step returns the record to append now, if any: to acquire, renew or release the
// lease. alive names the members that can hold the duty. Step returns the same grant
// again until the state shows whether it was accepted, since the answer to an append
// may be lost.
func (h *Holder) Step(s placement.State, alive []string) (placement.Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	lease, held := s.Lease(h.Duty)
	h.observe(now, lease)
	isHolder := held && lease.Holder == h.Self
	wanted := Owner(h.Duty, alive) == h.Self.Name && s.HasJoined(h.Self)
	switch {
	case isHolder && !wanted:
		return h.release(lease), true
	case !wanted:
		return placement.Record{}, false
	case h.pending != nil:
		return h.pending.record, true
	case isHolder && now.Sub(h.appendStart) < h.Duration/2:
		return placement.Record{}, false
	case held && !isHolder && now.Sub(h.observedAt) < lease.Duration && h.on(guardWaitForExpiry):
		return placement.Record{}, false
	}
	return h.grant(now, lease), true
}

// observe updates the holder from the lease in the state: it records when a grant or
// release was first observed, and clears the pending grant once the state shows its
// outcome.
func (h *Holder) observe(now time.Time, lease placement.Lease) {
	if lease.Fence != h.observedFence {
		h.observedFence = lease.Fence
		h.observedAt = now
	}
	if lease.Holder != h.Self {
		h.expiry = time.Time{}
	}
	if h.pending == nil || lease.Fence == h.pending.record.Presumes {
		return
	}
	if lease.Holder == h.Self {
		h.fence = lease.Fence
		h.appendStart = h.pending.appendStart
		if !h.on(guardCountFromAppend) {
			h.appendStart = now
		}
		h.expiry = h.appendStart.Add(h.Duration - h.Duration/marginDivisor)
	}
	h.pending = nil
}

func (h *Holder) grant(now time.Time, lease placement.Lease) placement.Record {
	r := placement.Record{
		ID:       h.NewID(),
		Presumes: lease.Fence,
		Writer:   h.Self.Name,
		Body:     placement.LeaseGrant{Duty: h.Duty, Holder: h.Self, Duration: h.Duration},
	}
	h.pending = &pendingGrant{r, now}
	return r
}

// release stops the use of the lease at once and returns the record that releases
// it. A pending grant is kept: it may reach the log before the release, and then its
// duration counts from its own append.
func (h *Holder) release(lease placement.Lease) placement.Record {
	h.expiry = time.Time{}
	if !h.on(guardKeepPending) {
		h.pending = nil
	}
	return placement.Record{
		ID:       h.NewID(),
		Presumes: lease.Fence,
		Writer:   h.Self.Name,
		Body:     placement.LeaseRelease{Duty: h.Duty, Holder: h.Self},
	}
}

// Held returns the lease's fencing number, and whether this process holds the lease
// now.
func (h *Holder) Held() (journal.Offset, bool) {
	fence, remaining := h.remaining()
	return fence, remaining > 0
}

func (h *Holder) remaining() (journal.Offset, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.expiry.Sub(h.now())
}

// Act runs the function with the lease's fencing number. If the lease has lapsed, it
// returns ErrLapsed instead. The function's context ends when the lease lapses. Act
// checks the lease right before it calls the function, but the process may pause in
// between, so the function's effects must be protected by the fencing number or by
// the log.
func (h *Holder) Act(ctx context.Context, fn func(ctx context.Context, fence journal.Offset) error) error {
	fence, remaining := h.remaining()
	if remaining <= 0 && h.on(guardCheckExpiry) {
		return errors.Wrapf(ErrLapsed, "duty %q", h.Duty)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return fn(ctx, fence)
}
