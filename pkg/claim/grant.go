package claim

import "context"

// Grant is the right to run one request once. Its holder calls Use right before it writes
// the request to a backend server, and ends the grant with exactly one of Complete,
// Release and Abandon.
type Grant struct {
	runner  *runner
	attempt *attempt
}

// Use marks the request as sent. A second call fails with ErrGrantUsed, and a call after
// the grant has ended with ErrGrantEnded.
func (g *Grant) Use() error {
	g.runner.mu.Lock()
	defer g.runner.mu.Unlock()
	return g.runner.participant.use(g.attempt)
}

// Complete records the complete answer. Claimants that ask this process get it at once;
// Complete waits until the log has it. If ctx ends first, the record is still written
// later unless the process ends.
func (g *Grant) Complete(ctx context.Context, answer Answer) error {
	return g.end(ctx, phaseCompleted, answer, "")
}

// Release records that the request did not run: nothing of it was written to a backend
// server, or the backend server confirmed that it did not start it. The key can then be
// claimed again. Release waits as Complete does.
func (g *Grant) Release(ctx context.Context, reason string) error {
	return g.end(ctx, phaseReleased, Answer{}, reason)
}

// Abandon records that the request may have run and that its answer is lost. It waits as
// Complete does.
func (g *Grant) Abandon(ctx context.Context, reason string) error {
	return g.end(ctx, phaseAbandoned, Answer{}, reason)
}

func (g *Grant) end(ctx context.Context, final phase, answer Answer, reason string) error {
	r := g.runner
	r.mu.Lock()
	err := r.participant.end(g.attempt, final, answer, reason)
	r.mu.Unlock()
	if err != nil {
		return err
	}
	r.wakeAppender()
	select {
	case <-g.attempt.recorded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
