package queue

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason int

//go:generate go tool stringer -type=Reason -trimprefix=Reason

// Reasons of refusals.
const (
	ReasonFull      Reason = iota // the queue has reached its limit of requests or bytes
	ReasonDeadline                // the deadline passed, or would pass, while the request waits
	ReasonDisplaced               // displaced by a request of an account that uses less of the queue
	ReasonClosed                  // the queue is closed
)

// Refusal is the error for a request that the queue refused. The request was not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // estimated time until a retry can succeed
}

// Error returns the reason and the time after which to retry.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue refused the request (%v), retry after %v", r.Reason, r.RetryAfter)
}
