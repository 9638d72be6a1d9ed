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

// Config is a replica of the fleet's configuration.
type Config struct {
	// OnVerdict, if not nil, is called with the verdict about each entry that was applied.
	OnVerdict func(fleet.Verdict)

	writer   journal.Writer
	follower journal.Follower
	state    atomic.Pointer[fleet.State]
	changed  Signal
}

// NewConfig returns a replica of the configuration. It follows the log while Run runs.
func NewConfig(options Options) *Config {
	c := &Config{writer: journal.Writer{Log: options.Log}}
	c.state.Store(&fleet.State{})
	options.configureFollower(&c.follower, ConfigStream, fleet.Format)
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

// Status returns the status of the replica, such as its position on the log.
func (c *Config) Status() journal.Status { return c.follower.Status() }

// SkipLost lets the replica continue after entries that expired before it read them. An
// operator calls it who knows that no entry instance has a state that includes them.
func (c *Config) SkipLost() { c.follower.SkipLost() }

// Changed returns a channel that is closed when the state next changes.
func (c *Config) Changed() <-chan struct{} { return c.changed.Notified() }

func (c *Config) apply(entry journal.Entry) error {
	state, verdict := c.State().Apply(entry)
	if err := state.Stopped(); err != nil {
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

// Submit appends the record of a change and waits for the state machine's verdict about
// it, which tells whether the change was accepted. An error means that there is no
// verdict yet. It is journal.ErrUnavailable if the record is certainly not on the log, and
// journal.ErrOutcomeUnknown if it may be; use errors.Is. A change that is submitted twice
// with the same ID is applied at most once.
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
	return c.awaitVerdict(ctx, id)
}

func (c *Config) awaitVerdict(ctx context.Context, id string) (fleet.Verdict, error) {
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
