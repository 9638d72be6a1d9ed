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
	ReasonFull      Reason = iota // the queue holds as many requests or bytes as it may
	ReasonDeadline                // the deadline would pass before service
	ReasonDisplaced               // made room for an account that holds less
	ReasonClosed                  // the queue no longer takes requests
)

// Refusal says that a request was not run. It is an error.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when the queue is likely to have room
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue refused the request (%v), retry after %v", r.Reason, r.RetryAfter)
}
