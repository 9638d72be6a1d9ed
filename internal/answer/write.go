package answer

import "context"

// Write is the writing of a request, beside which its answer is read. It holds the result
// once the write has ended.
type Write chan error

// NewWrite returns a write that has not ended.
func NewWrite() Write { return make(Write, 1) }

// End sets the result of the write, unless there is one.
func (w Write) End(err error) {
	select {
	case w <- err:
	default:
	}
}

// Result returns the result of the write. ended is false if there is none yet.
func (w Write) Result() (err error, ended bool) {
	select {
	case err := <-w:
		w.End(err)
		return err, true
	default:
		return nil, false
	}
}

// Wait returns the result of the write as soon as there is one. It returns the cause of
// the end of ctx if that comes first.
func (w Write) Wait(ctx context.Context) error {
	select {
	case err := <-w:
		w.End(err)
		return err
	case <-ctx.Done():
	}
	if err, ended := w.Result(); ended {
		return err
	}
	return context.Cause(ctx)
}

// restart removes the result of a write that is done again on another connection.
func (w Write) restart() {
	select {
	case <-w:
	default:
	}
}
