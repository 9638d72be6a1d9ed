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
	peerTimeout   = 2 * time.Second // a member that is silent for so long is lost
)

func (w *Worker) handleState(p *process, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	state := p.reported()
	w.mu.Unlock()
	fake.WriteJSON(rw, http.StatusOK, state)
}

func (w *Worker) handleOrder(p *process, rw http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !fake.ReadJSON(rw, r, &order) {
		return
	}
	w.mu.Lock()
	obeyed := p.obey(order)
	answer := engine.OrderAnswer{BootID: p.state.BootID, Fence: p.state.Fence}
	lose := obeyed && w.takeLostOrderAnswer()
	w.mu.Unlock()
	switch {
	case !obeyed:
		fake.WriteJSON(rw, http.StatusConflict, answer)
	case lose:
		fake.AbortRequest()
	default:
		fake.WriteJSON(rw, http.StatusOK, answer)
	}
}

func (w *Worker) takeLostOrderAnswer() bool {
	if w.faults.LoseOrderAnswer > 0 {
		w.faults.LoseOrderAnswer--
		return true
	}
	return w.faults.LoseOrderAnswer < 0
}

// obey returns false when the fencing number is old and the engine checks it.
// The caller holds the lock.
func (p *process) obey(order engine.Order) bool {
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
		p.load(order)
	case engine.Unload:
		counts.CutByOrder += p.unload()
	case engine.SetRole:
		p.state.Role = order.Role
	}
	p.report()
	return true
}

// load begins to load a model, or only joins the group when it is loaded. It
// does nothing when the engine already is what the order asks for.
func (p *process) load(order engine.Order) {
	if p.is(order) {
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
	p.unwatch = cancel
	if loaded {
		p.state.Phase = phase
		p.watch(ctx, order)
		return
	}
	p.state.Phase = engine.Loading
	go p.finishLoad(ctx, order)
}

func (p *process) is(order engine.Order) bool {
	return p.state.Phase != engine.Unloaded &&
		p.state.Group == order.Group && p.state.Epoch == order.Epoch &&
		p.state.Model == order.Model && p.state.ModelVersion == order.ModelVersion &&
		p.state.Role == order.Role && p.state.Rank == order.Rank
}

// unload returns how many requests it ended.
func (p *process) unload() int {
	if p.unwatch != nil {
		p.unwatch()
		p.unwatch = nil
	}
	ended := p.endAll()
	p.state.Phase, p.warming = engine.Unloaded, 0
	p.state.Group, p.state.Epoch, p.state.Rank = "", 0, 0
	p.state.Model, p.state.ModelVersion = "", ""
	return ended
}

func (p *process) endAll() int {
	ended := 0
	for _, j := range slices.Concat(p.waiting, p.running) {
		p.remove(j)
		ended++
	}
	return ended
}

// finishLoad reads the weights and turns cold, unless another order came.
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
	p.state.Phase, p.warming = engine.Cold, 0
	p.report()
	p.watch(ctx, order)
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

// watch has the group's first member look at the others.
func (p *process) watch(ctx context.Context, order engine.Order) {
	if order.Rank != 0 {
		return
	}
	for _, address := range order.Peers {
		go p.watchPeer(ctx, address)
	}
}

// watchPeer ends what runs as soon as the peer is gone or is another process.
func (p *process) watchPeer(ctx context.Context, address string) {
	client := engine.New(engine.Options{Address: address, ControlTimeout: peerTimeout})
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

// loseGroup ends what runs: no member can go on without the others.
func (p *process) loseGroup(ctx context.Context) {
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.worker.counts.CutByPeer += p.unload()
	p.report()
}

// Instance fills in what the platform's list tells of the process. It returns
// false while there is none.
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
