package retry

import "time"

//go:generate go tool stringer -type=Reason

// Reason states why a request is or is not retried.
type Reason uint8

// The reasons.
const (
	Allowed       Reason = iota
	NotRepeatable        // the request may have run and must not run twice
	NotThisLayer         // another instance does the retries
	NoAttemptLeft        // MaxAttempts is reached
	NoTimeLeft           // the deadline would pass before or during the next attempt
	NoBudgetLeft         // the retry budget is spent
)

// Defaults of Policy.
const (
	DefaultMaxAttempts = 3
	DefaultMaxWait     = 30 * time.Second
)

// Failure describes a failed attempt.
type Failure struct {
	Server     string        // backend server whose budget the next attempt uses
	Repeatable bool          // the request is idempotent, or certainly did not run
	RetryAfter time.Duration // requested by the backend server; 0 if it requested none
}

// Decision states what follows a failed attempt.
type Decision struct {
	Reason     Reason
	Delay      time.Duration // before the next attempt, if allowed
	RetryAfter time.Duration // for the caller, if not allowed
}

// Policy decides on the retries of one instance.
type Policy struct {
	MaxAttempts    int           // attempts including the first; 0 means DefaultMaxAttempts
	MinAttemptTime time.Duration // no attempt starts with this much time left, or less
	MaxWait        time.Duration // upper bound of Retry-After; 0 means DefaultMaxWait
	Backoff        Backoff
	Budgets        *Budgets
}

// Next decides whether another attempt follows a failed one, and takes from the
// budgets if it does.
func (p *Policy) Next(now time.Time, a Attempt, f Failure) Decision {
	delay := max(p.Backoff.Delay(a.Number), f.RetryAfter)
	reason := p.decide(now, a, f, delay)
	if reason == Allowed {
		return Decision{Delay: delay}
	}
	return Decision{Reason: reason, RetryAfter: p.retryAfter(now, a, f)}
}

func (p *Policy) decide(now time.Time, a Attempt, f Failure, delay time.Duration) Reason {
	left, hasDeadline := a.TimeLeft(now)
	switch {
	case !f.Repeatable:
		return NotRepeatable
	case a.Forwarded:
		return NotThisLayer
	case a.Number >= orDefault(p.MaxAttempts, DefaultMaxAttempts):
		return NoAttemptLeft
	case hasDeadline && left-delay <= p.MinAttemptTime:
		return NoTimeLeft
	case !p.Budgets.Take(now, f.Server):
		return NoBudgetLeft
	}
	return Allowed
}

// retryAfter returns the Retry-After of a refusal. It grows with the attempt number,
// and is not before the budgets and the backend server allow another attempt, unless
// that is later than MaxWait.
func (p *Policy) retryAfter(now time.Time, a Attempt, f Failure) time.Duration {
	maxWait := orDefault(p.MaxWait, DefaultMaxWait)
	minWait := max(p.Budgets.Wait(now, f.Server, maxWait), f.RetryAfter)
	return min(p.Backoff.RetryAfter(a.Number, minWait), maxWait)
}
