package worker

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/platform"
)

const (
	maxOrdersKept = 256
	memberTimeout = 2 * time.Second // a group member that does not answer within this time is lost
)

func (w *Worker) handleState(p *process, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	state := p.laggedState()
	w.mu.Unlock()
	fake.WriteJSON(rw, http.StatusOK, state)
}

func (w *Worker) handleOrder(p *process, rw http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !fake.ReadJSON(rw, r, &order) {
		return
	}
	w.mu.Lock()
	accepted := p.applyOrder(order)
	answer := engine.OrderAnswer{BootID: p.state.BootID, Fence: p.state.Fence}
	lose := accepted && w.consumeLostOrderAnswer()
	w.mu.Unlock()
	switch {
	case !accepted:
		fake.WriteJSON(rw, http.StatusConflict, answer)
	case lose:
		fake.AbortRequest()
	default:
		fake.WriteJSON(rw, http.StatusOK, answer)
	}
}

// consumeLostOrderAnswer reports whether the answer to an order must be dropped, and
// counts it. The caller holds the lock.
func (w *Worker) consumeLostOrderAnswer() bool {
	if w.faults.LoseOrderAnswer > 0 {
		w.faults.LoseOrderAnswer--
		return true
	}
	return w.faults.LoseOrderAnswer < 0
}

// applyOrder carries an order out. It returns false if the fencing number is outdated
// and the engine checks it. The caller holds the lock.
func (p *process) applyOrder(order engine.Order) bool {
	counts := &p.worker.counts
	if order.Fence < p.state.Fence {
		if p.worker.config.ChecksFence {
			return false
		}
		counts.StaleOrders++
	}
	p.state.Fence = max(p.state.Fence, order.Fence)
	p.state.OrderID = order.OrderID
	if len(counts.Orders) < maxOrdersKept {
		counts.Orders = append(counts.Orders, order)
	}
	switch order.Kind {
	case engine.Load:
		p.startLoad(order)
	case engine.Unload:
		counts.CutByOrder += p.unload()
	case engine.SetRole:
		p.state.Role = order.Role
	}
	p.recordState()
	return true
}

// startLoad starts to load a model, or only joins the group if the model is already
// loaded. It does nothing if the engine already matches the order.
func (p *process) startLoad(order engine.Order) {
	if p.matchesOrder(order) {
		return
	}
	loaded := p.state.Phase >= engine.Cold &&
		p.state.Model == order.Model && p.state.ModelVersion == order.ModelVersion
	phase := p.state.Phase
	p.worker.counts.CutByOrder += p.unload()
	p.state.Group = order.Group
	p.state.Epoch = order.Epoch
	p.state.Model = order.Model
	p.state.ModelVersion = order.ModelVersion
	p.state.Role = order.Role
	p.state.Rank = order.Rank
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopMemberWatch = cancel
	if loaded {
		p.state.Phase = phase
		p.watchMembers(ctx, order)
		return
	}
	p.state.Phase = engine.Loading
	go p.finishLoad(ctx, order)
}

// matchesOrder reports whether the state is the one that the order asks for.
func (p *process) matchesOrder(order engine.Order) bool {
	return p.state.Phase != engine.Unloaded &&
		p.state.Group == order.Group && p.state.Epoch == order.Epoch &&
		p.state.Model == order.Model && p.state.ModelVersion == order.ModelVersion &&
		p.state.Role == order.Role && p.state.Rank == order.Rank
}

// unload aborts all requests, unloads the model and leaves the group. It returns the
// number of aborted requests.
func (p *process) unload() int {
	if p.stopMemberWatch != nil {
		p.stopMemberWatch()
		p.stopMemberWatch = nil
	}
	ended := p.removeAllJobs()
	p.state.Phase, p.completedWhileCold = engine.Unloaded, 0
	p.state.Group, p.state.Epoch, p.state.Rank = "", 0, 0
	p.state.Model, p.state.ModelVersion = "", ""
	return ended
}

func (p *process) removeAllJobs() int {
	ended := 0
	for _, j := range slices.Concat(p.waiting, p.running) {
		p.remove(j)
		ended++
	}
	return ended
}

// finishLoad reads the weights and then sets the phase to cold, unless another order
// canceled the load.
func (p *process) finishLoad(ctx context.Context, order engine.Order) {
	for !p.readWeights(ctx, order) {
		select {
		case <-time.After(p.worker.config.MemberCheckInterval):
		case <-ctx.Done():
			return
		}
	}
	select {
	case <-time.After(p.worker.config.LoadTime):
	case <-ctx.Done():
		return
	}
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.state.Phase, p.completedWhileCold = engine.Cold, 0
	p.recordState()
	p.watchMembers(ctx, order)
}

func (p *process) readWeights(ctx context.Context, order engine.Order) bool {
	if p.worker.config.Weights == "" {
		return true
	}
	client := platform.New(p.worker.config.Weights)
	defer client.Close()
	_, err := client.Weights(ctx, order.Model, order.ModelVersion, nil)
	return err == nil
}

// watchMembers starts to check the other members of the group if this one is the head.
func (p *process) watchMembers(ctx context.Context, order engine.Order) {
	if order.Rank != 0 {
		return
	}
	for _, address := range order.Peers {
		go p.watchMember(ctx, address)
	}
}

// watchMember aborts all requests as soon as the group member at the address is
// unreachable or runs in another process.
func (p *process) watchMember(ctx context.Context, address string) {
	client := engine.New(engine.Options{Address: address, ControlTimeout: memberTimeout})
	defer client.Close()
	bootID := ""
	for ctx.Err() == nil {
		state, err := client.State(ctx)
		if err != nil || bootID != "" && state.BootID != bootID {
			p.loseGroup(ctx)
			return
		}
		bootID = state.BootID
		select {
		case <-time.After(p.worker.config.MemberCheckInterval):
		case <-ctx.Done():
		}
	}
}

// loseGroup aborts all requests and unloads the model, since no member of a group can
// work without the others.
func (p *process) loseGroup(ctx context.Context) {
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.worker.counts.CutByPeer += p.unload()
	p.recordState()
}

// Instance completes the instance with the fields that the platform lists about the
// process. It returns false while no process runs.
func (w *Worker) Instance(instance platform.Instance) (platform.Instance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process == nil {
		return instance, false
	}
	instance.Name, instance.Kind = w.config.Name, platform.Backend
	instance.BootID = w.process.state.BootID
	if w.faults.Leaving {
		instance.State = platform.Leaving
	}
	return instance, true
}
