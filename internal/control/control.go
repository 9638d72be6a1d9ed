package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/backend"
	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/replica"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/lease"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

const (
	// groupsDuty is the duty whose holder manages the groups of a data centre.
	groupsDuty = "groups"
	// leaseDuration is how long a holder keeps the duty without renewing its lease.
	leaseDuration = 6 * time.Second
	// decisionInterval is the maximum time between two decisions.
	decisionInterval = 250 * time.Millisecond
	// appendTimeout bounds one append to the log. It is shorter than leaseDuration,
	// so that an outage of the log can't block a decision for longer than the lease.
	appendTimeout = 3 * time.Second
	// orderTimeout bounds one order, from the call until its confirmation.
	orderTimeout = 5 * time.Second
)

// Controller manages the groups of a data centre while this entry instance holds
// the lease.
type Controller struct {
	Self      placement.Process
	Placement *replica.Placement
	Pool      *backend.Pool
	// Input returns the input of a decision. The controller itself sets Now, Self,
	// State, Sent and PollingSince.
	Input func() group.Input
	// Alive returns the names of the entry instances that may hold the lease.
	Alive func() []string
	Log   *logrus.Logger

	once    sync.Once
	holder  *lease.Holder
	issuer  *group.Issuer
	decider group.Controller
	orders  sync.WaitGroup
	started time.Time // when this instance began to poll the backend servers
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.holder = &lease.Holder{Duty: groupsDuty, Self: c.Self, Duration: leaseDuration, NewID: uuid.NewString}
		c.issuer = &group.Issuer{Self: c.Self, Send: c.send, NewID: uuid.NewString}
		c.decider = group.Controller{NewID: uuid.NewString}
	})
}

// Run makes decisions until ctx ends, and then waits for the orders that are still
// being sent. It decides whenever the placement changes, and at least every
// decisionInterval.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	c.started = time.Now()
	defer c.orders.Wait()
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		changed := c.Placement.Changed()
		c.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// Held reports whether this instance holds the lease now.
func (c *Controller) Held() bool {
	c.init()
	_, held := c.holder.Held()
	return held
}

// Release releases the lease, if it is held, so that another instance needn't wait
// for it to lapse.
func (c *Controller) Release(ctx context.Context) {
	c.init()
	if record, due := c.holder.Step(c.Placement.State(), nil); due {
		_ = c.append(ctx, record)
	}
}

// step appends the releases that are not yet recorded, and then either the next
// record of the lease, if one is due, or the records of a decision.
func (c *Controller) step(ctx context.Context) {
	state := c.Placement.State()
	for _, record := range c.issuer.PendingReleases(state) {
		_ = c.append(ctx, record)
	}
	if record, due := c.holder.Step(state, c.Alive()); due {
		_ = c.append(ctx, record)
		return
	}
	err := c.holder.Act(ctx, c.decide)
	if errors.Is(err, lease.ErrLapsed) {
		c.issuer.Abandon(state) // another instance may hold the lease
	}
	if err != nil && !errors.Is(err, lease.ErrLapsed) && ctx.Err() == nil {
		c.Log.WithError(err).Warn("decision over groups is not recorded")
	}
}

// decide makes one decision: it sends the decision's orders in the background and
// appends its records.
func (c *Controller) decide(ctx context.Context, _ journal.Offset) error {
	input := c.Input()
	input.Now = time.Now()
	input.Self = c.Self
	input.State = c.Placement.State()
	input.Sent = c.issuer.Sent
	input.PollingSince = c.started
	decision := c.decider.Decide(input)
	for _, note := range decision.Notes {
		c.Log.WithFields(logrus.Fields{
			"group":          note.Group,
			"backend_server": note.Server,
			"reason":         note.Message,
			"offset":         input.State.Offset(),
		}).Info("placement decision")
	}
	for _, order := range decision.Orders {
		c.orders.Go(func() { c.issue(ctx, order) })
	}
	return c.appendAll(ctx, decision.Records)
}

func (c *Controller) appendAll(ctx context.Context, records []placement.Record) error {
	for _, record := range records {
		if err := c.append(ctx, record); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) append(ctx context.Context, record placement.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return c.Placement.Append(ctx, record)
}

// issue sends an order and logs whether it was confirmed. It continues after ctx
// ends, for at most orderTimeout.
func (c *Controller) issue(ctx context.Context, order group.Order) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	err := c.issuer.Issue(ctx, c.Placement.State(), order)
	logger := c.Log.WithFields(logrus.Fields{
		"group":          order.Group,
		"backend_server": order.Server,
		"epoch":          order.Epoch,
		"fence":          order.Fence,
	})
	if err != nil {
		logger.WithError(err).Warn("order to load was not confirmed")
		return
	}
	logger.Info("order to load was confirmed")
}

// send sends one order to a backend server's engine. The error is marked with
// group.ErrNotSent if the engine certainly did not execute the order: it was not
// sent, or the engine refused it with status 409.
func (c *Controller) send(ctx context.Context, order group.Order) error {
	engineOrder := engine.Order{
		Fence:        int64(order.Fence),
		Kind:         engine.Load,
		OrderID:      uuid.NewString(),
		Group:        order.Group,
		Epoch:        int64(order.Epoch),
		Model:        order.Model,
		ModelVersion: order.ModelVersion,
		Rank:         order.Rank,
		Peers:        c.peersOf(order),
	}
	_, err := c.Pool.Engine(order.Address).Order(ctx, order.BootID, engineOrder)
	if errors.Is(err, engine.ErrNotSent) {
		return errors.Mark(err, group.ErrNotSent)
	}
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return errors.Mark(err, group.ErrNotSent)
	}
	return err
}

// peersOf returns the known addresses of the other members of the order's group.
func (c *Controller) peersOf(order group.Order) []string {
	addresses := make(map[string]string)
	for _, server := range c.Input().Servers {
		addresses[server.Name] = server.Address
	}
	var peers []string
	for _, member := range order.Members {
		if address, known := addresses[member.Name]; known && member.Name != order.Server {
			peers = append(peers, address)
		}
	}
	return peers
}
