package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// decideWithoutClaim returns the decision for a key if it can be made without a new
// claim.
func (r *runner) decideWithoutClaim(ctx context.Context, key Key, digest Digest) (Decision, bool) {
	status := r.lookup(key)
	if status.State == StateFree {
		return Decision{}, false
	}
	d := r.resolveHeldKey(ctx, key, digest, status)
	return d, r.participant.decidesWithoutClaim(d)
}

// resolveHeldKey returns the decision for a key that another claim holds, given its
// status in the log. While the key is running it asks the claimant, for up to
// PendingWait.
func (r *runner) resolveHeldKey(ctx context.Context, key Key, digest Digest, status KeyStatus) Decision {
	ctx, cancel := context.WithTimeout(ctx, orDefault(r.claimant.PendingWait, DefaultPendingWait))
	defer cancel()
	for {
		if d, done := decideFromLog(status, digest); done {
			return d
		}
		changed := r.changeSignal()
		out, err := r.askClaimant(ctx, status.Claimant, key, status.Claim)
		if err == nil && out.Kind != Pending {
			return decisionFromOutcome(out)
		}
		if errors.Is(err, ErrClaimantEnded) {
			return r.decideAfterClaimantEnd(ctx, key, digest, changed, err)
		}
		if !waitForChange(ctx, changed, orDefault(r.claimant.AskInterval, DefaultAskInterval)) {
			return r.undecidedDecision(err)
		}
		status = r.lookup(key)
	}
}

// decideAfterClaimantEnd returns the decision for a key whose claimant has ended. It waits
// once more, since the last records of the claimant may not have been read yet.
func (r *runner) decideAfterClaimantEnd(ctx context.Context, key Key, digest Digest, changed <-chan struct{}, endErr error) Decision {
	waitForChange(ctx, changed, orDefault(r.claimant.AskInterval, DefaultAskInterval))
	if d, done := decideFromLog(r.lookup(key), digest); done {
		return d
	}
	return r.undecidedDecision(endErr)
}

// decideFromLog returns the decision for a key, and false if the log alone does not
// suffice for one.
func decideFromLog(status KeyStatus, digest Digest) (Decision, bool) {
	if status.State == StateExpired {
		return expiredDecision(), true
	}
	if status.State == StateFree {
		return retryableDecision(Outcome{Kind: NotRun, Reason: status.Reason}), true
	}
	if status.Digest != digest {
		return Decision{Outcome: Outcome{Kind: Conflict, Reason: "key belongs to another request"}}, true
	}
	switch status.State {
	case StateComplete:
		return Decision{Outcome: Outcome{Kind: Replay, Answer: status.Answer}}, true
	case StateAbandoned:
		return Decision{Outcome: Outcome{Kind: Unknown, Reason: status.Reason}}, true
	default:
		return Decision{}, false
	}
}

// decisionFromOutcome returns the decision for the outcome that a claimant reported.
func decisionFromOutcome(out Outcome) Decision {
	if out.Kind == NotRun {
		return retryableDecision(out)
	}
	return Decision{Outcome: out}
}

// undecidedDecision returns the decision for a key that is still running after
// PendingWait, or whose claimant is unreachable.
func (r *runner) undecidedDecision(askErr error) Decision {
	if askErr != nil {
		return Decision{Outcome: Outcome{Kind: Unknown, Reason: "claimant does not answer: " + askErr.Error()}}
	}
	after := orDefault(r.claimant.AskInterval, DefaultAskInterval)
	return Decision{Outcome: Outcome{Kind: Pending, Reason: "another attempt is running"}, RetryAfter: after}
}

func (r *runner) askClaimant(ctx context.Context, other ClaimantID, key Key, id ClaimID) (Outcome, error) {
	if other == r.claimant.ID {
		return r.claimant.Outcome(key, id), nil
	}
	if r.claimant.AskClaimant == nil {
		return Outcome{}, errors.Newf("claimant %q can't be asked", other)
	}
	return r.claimant.AskClaimant(ctx, other, key, id)
}

func (r *runner) changeSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// waitForChange waits until changed is closed or the interval is over. It returns false
// if ctx ended first.
func waitForChange(ctx context.Context, changed <-chan struct{}, interval time.Duration) bool {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryableDecision returns a decision with a RetryAfter, since a new attempt with the
// same key may have another outcome.
func retryableDecision(out Outcome) Decision {
	return Decision{Outcome: out, RetryAfter: DefaultAskInterval}
}
