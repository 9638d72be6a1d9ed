package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

// ConfigStream is the log stream of the fleet's configuration.
const ConfigStream = "config"

// Config follows the fleet's configuration.
type Config struct {
	// OnVerdict is told of each record that was folded.
	OnVerdict func(fleet.Verdict)

	writer   journal.Writer
	follower journal.Follower
	state    atomic.Pointer[fleet.State]
	changed  Signal
}

// NewConfig returns a replica of the configuration. Run must be called for it
// to follow the log.
func NewConfig(options Options) *Config {
	c := &Config{writer: journal.Writer{Log: options.Log}}
	c.state.Store(&fleet.State{})
	options.follow(&c.follower, ConfigStream, fleet.Format)
	c.follower.Apply = c.apply
	c.follower.Restore = c.restore
	c.follower.Snapshot = func() ([]byte, error) { return c.State().Encode() }
	return c
}

// Run follows the log until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	err := c.follower.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// State returns the newest state.
func (c *Config) State() fleet.State { return *c.state.Load() }

// Status returns the position of the replica.
func (c *Config) Status() journal.Status { return c.follower.Status() }

// SkipLost lets the replica go on after entries that expired unread. It is for an
// operator who knows that no entry instance holds their state.
func (c *Config) SkipLost() { c.follower.SkipLost() }

// Changed returns a channel that is closed when the state changes.
func (c *Config) Changed() <-chan struct{} { return c.changed.Notified() }

func (c *Config) apply(entry journal.Entry) error {
	state, verdict := c.State().Apply(entry)
	if err := state.Behind(); err != nil {
		return err
	}
	c.state.Store(&state)
	c.changed.Notify()
	if c.OnVerdict != nil {
		c.OnVerdict(verdict)
	}
	return nil
}

func (c *Config) restore(data []byte, at journal.Offset) error {
	state, err := fleet.Restore(data, at)
	if err != nil {
		return err
	}
	c.state.Store(&state)
	c.changed.Notify()
	return nil
}

// Submit appends the record of a change and waits until the state machine has
// decided about it. The verdict says whether it was accepted. An error means
// that there is no verdict yet; errors.Is tells ErrUnavailable, when the record
// certainly is not on the log, from ErrOutcomeUnknown. A second Submit with the
// same ID never changes anything twice.
func (c *Config) Submit(ctx context.Context, id, writer string, change fleet.Change) (fleet.Verdict, error) {
	if verdict, known := c.State().Verdict(id); known {
		return verdict, nil
	}
	record, err := c.State().Record(id, writer, change)
	if err != nil {
		return fleet.Verdict{}, err
	}
	if _, err := c.writer.Append(ctx, ConfigStream, record); err != nil {
		return fleet.Verdict{}, err
	}
	return c.await(ctx, id)
}

func (c *Config) await(ctx context.Context, id string) (fleet.Verdict, error) {
	for {
		changed := c.Changed()
		if verdict, known := c.State().Verdict(id); known {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			err := errors.Wrapf(ctx.Err(), "record %q is on the log but was not read back", id)
			return fleet.Verdict{}, errors.Mark(err, journal.ErrOutcomeUnknown)
		}
	}
}
