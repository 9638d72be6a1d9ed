package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// Placement follows the placement stream of one data centre.
type Placement struct {
	// OnVerdict is told of each record that was folded.
	OnVerdict func(placement.Verdict)

	stream   string
	writer   journal.Writer
	follower journal.Follower
	state    atomic.Pointer[placement.State]
	changed  Signal
}

// NewPlacement returns a replica of a data centre's placement. Run must be
// called for it to follow the log.
func NewPlacement(dataCentre string, options Options) *Placement {
	p := &Placement{stream: placement.Stream(dataCentre), writer: journal.Writer{Log: options.Log}}
	p.state.Store(&placement.State{})
	options.follow(&p.follower, p.stream, placement.Format)
	p.follower.Apply = p.apply
	p.follower.Restore = p.restore
	p.follower.Snapshot = func() ([]byte, error) { return p.State().Snapshot() }
	return p
}

// Run follows the log until ctx ends.
func (p *Placement) Run(ctx context.Context) error {
	err := p.follower.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Stream returns the name of the stream.
func (p *Placement) Stream() string { return p.stream }

// State returns the newest state.
func (p *Placement) State() placement.State { return *p.state.Load() }

// Status returns the position of the replica.
func (p *Placement) Status() journal.Status { return p.follower.Status() }

// SkipLost lets the replica go on after entries that expired unread. It is for an
// operator who knows that no entry instance holds their state.
func (p *Placement) SkipLost() { p.follower.SkipLost() }

// Changed returns a channel that is closed when the state changes.
func (p *Placement) Changed() <-chan struct{} { return p.changed.Notified() }

func (p *Placement) apply(entry journal.Entry) error {
	state, verdict := p.State().Apply(entry)
	if _, behind := state.NewerFormat(); behind {
		return &journal.FormatError{Format: placement.Format + 1, Highest: placement.Format}
	}
	p.state.Store(&state)
	p.changed.Notify()
	if p.OnVerdict != nil {
		p.OnVerdict(verdict)
	}
	return nil
}

func (p *Placement) restore(data []byte, at journal.Offset) error {
	state, err := placement.Restore(data, at)
	if err != nil {
		return err
	}
	p.state.Store(&state)
	p.changed.Notify()
	return nil
}

// Append appends a record. Whether it was accepted shows in the state, which is
// the only thing that may be acted on.
func (p *Placement) Append(ctx context.Context, record placement.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	envelope, err := journal.DecodeRecord(data, placement.Format)
	if err != nil {
		return err
	}
	envelope.After = p.State().Offset()
	_, err = p.writer.Append(ctx, p.stream, envelope)
	return errors.Wrapf(err, "append %s", record.Body.Kind())
}
