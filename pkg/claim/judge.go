package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// known returns a decision that needs no new claim, if there is one.
func (r *runner) known(ctx context.Context, key Key, digest Digest) (Decision, bool) {
	h := r.lookup(key)
	if h.State == StateFree {
		return Decision{}, false
	}
	d := r.judge(ctx, key, digest, h)
	return d, r.part.known(d)
}

// judge turns what the log says about a key that another claim holds into a
// decision. It asks the claimant while the key runs.
func (r *runner) judge(ctx context.Context, key Key, digest Digest, h Holding) Decision {
	ctx, cancel := context.WithTimeout(ctx, orDefault(r.c.PendingWait, DefaultPendingWait))
	defer cancel()
	for {
		if d, done := decide(h, digest); done {
			return d
		}
		changed := r.changes()
		out, err := r.ask(ctx, h.Claimant, key, h.Claim)
		if err == nil && out.Kind != Pending {
			return asked(out)
		}
		if errors.Is(err, ErrClaimantEnded) {
			return r.lastWord(ctx, key, digest, changed, err)
		}
		if !waitChange(ctx, changed, orDefault(r.c.AskInterval, DefaultAskInterval)) {
			return r.undecided(err)
		}
		h = r.lookup(key)
	}
}

// lastWord is the decision about a key whose claimant has ended. What it wrote
// just before may still arrive.
func (r *runner) lastWord(ctx context.Context, key Key, digest Digest, changed <-chan struct{}, gone error) Decision {
	waitChange(ctx, changed, orDefault(r.c.AskInterval, DefaultAskInterval))
	if d, done := decide(r.lookup(key), digest); done {
		return d
	}
	return r.undecided(gone)
}

// decide returns the decision that the log alone allows.
func decide(h Holding, digest Digest) (Decision, bool) {
	if h.State == StateExpired {
		return expired(), true
	}
	if h.State == StateFree {
		return retryNow(Outcome{Kind: NotRun, Reason: h.Reason}), true
	}
	if h.Digest != digest {
		return Decision{Outcome: Outcome{Kind: Conflict, Reason: "key belongs to another request"}}, true
	}
	switch h.State {
	case StateComplete:
		return Decision{Outcome: Outcome{Kind: Replay, Answer: h.Answer}}, true
	case StateAbandoned:
		return Decision{Outcome: Outcome{Kind: Unknown, Reason: h.Reason}}, true
	default:
		return Decision{}, false
	}
}

// asked returns the decision for a claimant's own word.
func asked(out Outcome) Decision {
	if out.Kind == NotRun {
		return retryNow(out)
	}
	return Decision{Outcome: out}
}

// undecided is the decision after PendingWait.
func (r *runner) undecided(askErr error) Decision {
	if askErr != nil {
		return Decision{Outcome: Outcome{Kind: Unknown, Reason: "claimant does not answer: " + askErr.Error()}}
	}
	after := orDefault(r.c.AskInterval, DefaultAskInterval)
	return Decision{Outcome: Outcome{Kind: Pending, Reason: "another attempt is running"}, RetryAfter: after}
}

func (r *runner) ask(ctx context.Context, claimant ClaimantID, key Key, id ClaimID) (Outcome, error) {
	if claimant == r.c.ID {
		return r.c.Outcome(key, id), nil
	}
	if r.c.AskClaimant == nil {
		return Outcome{}, errors.Newf("claimant %q can't be asked", claimant)
	}
	return r.c.AskClaimant(ctx, claimant, key, id)
}

func (r *runner) changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// waitChange waits for the channel or the interval, and reports false if ctx
// ended first.
func waitChange(ctx context.Context, changed <-chan struct{}, interval time.Duration) bool {
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

// retryNow marks a decision that a new attempt with the same key may change.
func retryNow(out Outcome) Decision {
	return Decision{Outcome: out, RetryAfter: DefaultAskInterval}
}
