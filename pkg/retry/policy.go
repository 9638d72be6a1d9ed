package retry

import "time"

//go:generate go tool stringer -type=Reason

// Reason says why a request is or is not tried again.
type Reason uint8

// The reasons.
const (
	Allowed       Reason = iota
	NotRepeatable        // it may have run, and must not run twice
	NotThisLayer         // another instance does the retries
	NoAttemptLeft        // MaxAttempts is reached
	NoTimeLeft           // the deadline would pass before or during the next try
	NoBudgetLeft         // retries would outgrow the traffic
)

// Defaults of Policy.
const (
	DefaultMaxAttempts = 3
	DefaultMaxWait     = 30 * time.Second
)

// Failure describes a try that failed.
type Failure struct {
	Server     string        // backend server of the next try, as its budget is spent
	Repeatable bool          // the request is idempotent, or it is certain that it did not run
	RetryAfter time.Duration // what the backend server asked for; 0 if nothing
}

// Decision says what comes after a failed try.
type Decision struct {
	Reason     Reason
	Delay      time.Duration // before the next try, if allowed
	RetryAfter time.Duration // to tell the caller, if not
}

// Policy decides on retries of one instance.
type Policy struct {
	MaxAttempts    int           // tries in all; 0 means DefaultMaxAttempts
	MinAttemptTime time.Duration // shortest time that a try is worth starting with
	MaxWait        time.Duration // longest Retry-After; 0 means DefaultMaxWait
	Backoff        Backoff
	Budgets        *Budgets
}

// Next decides on the try after the attempt, and spends the budget if it allows
// one.
func (p *Policy) Next(now time.Time, a Attempt, f Failure) Decision {
	delay := max(p.Backoff.Delay(a.Number), f.RetryAfter)
	reason := p.reason(now, a, f, delay)
	if reason == Allowed {
		return Decision{Delay: delay}
	}
	return Decision{Reason: reason, RetryAfter: p.retryAfter(now, a, f)}
}

func (p *Policy) reason(now time.Time, a Attempt, f Failure, delay time.Duration) Reason {
	left, bounded := a.Left(now)
	switch {
	case !f.Repeatable:
		return NotRepeatable
	case a.Forwarded:
		return NotThisLayer
	case a.Number >= orDefault(p.MaxAttempts, DefaultMaxAttempts):
		return NoAttemptLeft
	case bounded && left-delay <= p.MinAttemptTime:
		return NoTimeLeft
	case !p.Budgets.Take(now, f.Server):
		return NoBudgetLeft
	}
	return Allowed
}

// retryAfter grows with the attempt and is never before the budget or the
// backend server allows another try.
func (p *Policy) retryAfter(now time.Time, a Attempt, f Failure) time.Duration {
	most := orDefault(p.MaxWait, DefaultMaxWait)
	least := max(p.Budgets.Wait(now, f.Server, most), f.RetryAfter)
	return min(p.Backoff.RetryAfter(a.Number, least), most)
}
