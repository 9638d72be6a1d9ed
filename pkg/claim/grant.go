package claim

import "context"

// Grant is the right to run one request once. Its holder calls Use right before
// the request is written to a backend server, and ends it with exactly one of
// Complete, Release and Abandon.
type Grant struct {
	runner  *runner
	attempt *attempt
}

// Use spends the right to send the request. A second call fails with
// ErrGrantUsed, a call after the end with ErrGrantEnded.
func (g *Grant) Use() error {
	g.runner.mu.Lock()
	defer g.runner.mu.Unlock()
	return g.runner.part.use(g.attempt)
}

// Complete records the whole answer. Other claimants get it at once; Complete
// waits until the log has it. When ctx ends first the record is still written
// later, as long as the process lives.
func (g *Grant) Complete(ctx context.Context, answer Answer) error {
	return g.end(ctx, phaseCompleted, answer, "")
}

// Release records that nothing of the request was written to a backend server,
// or that the backend server proved that it did not start it. Then the key may
// be claimed anew. It waits like Complete.
func (g *Grant) Release(ctx context.Context, reason string) error {
	return g.end(ctx, phaseReleased, Answer{}, reason)
}

// Abandon records that the request may have run and that its answer is lost. It
// waits like Complete.
func (g *Grant) Abandon(ctx context.Context, reason string) error {
	return g.end(ctx, phaseAbandoned, Answer{}, reason)
}

func (g *Grant) end(ctx context.Context, last phase, answer Answer, reason string) error {
	r := g.runner
	r.mu.Lock()
	err := r.part.end(g.attempt, last, answer, reason)
	r.mu.Unlock()
	if err != nil {
		return err
	}
	r.kick()
	select {
	case <-g.attempt.written:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
