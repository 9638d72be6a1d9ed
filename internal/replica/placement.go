package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// Placement is a replica of the placement of one data centre.
type Placement struct {
	// OnVerdict, if not nil, is called with the verdict about each entry that was applied.
	OnVerdict func(placement.Verdict)

	stream   string
	writer   journal.Writer
	follower journal.Follower
	state    atomic.Pointer[placement.State]
	changed  Signal
}

// NewPlacement returns a replica of a data centre's placement. It follows the log while
// Run runs.
func NewPlacement(dataCentre string, options Options) *Placement {
	p := &Placement{stream: placement.Stream(dataCentre), writer: journal.Writer{Log: options.Log}}
	p.state.Store(&placement.State{})
	options.configureFollower(&p.follower, p.stream, placement.Format)
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

// Stream returns the name of the placement stream.
func (p *Placement) Stream() string { return p.stream }

// State returns the newest state.
func (p *Placement) State() placement.State { return *p.state.Load() }

// Status returns the status of the replica, such as its position on the log.
func (p *Placement) Status() journal.Status { return p.follower.Status() }

// SkipLost lets the replica continue after entries that expired before it read them. An
// operator calls it who knows that no entry instance has a state that includes them.
func (p *Placement) SkipLost() { p.follower.SkipLost() }

// Changed returns a channel that is closed when the state next changes.
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

// Append appends a record. No error means that the record is on the log, but not that it
// was accepted. Callers must act only on the state, which includes accepted records.
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
