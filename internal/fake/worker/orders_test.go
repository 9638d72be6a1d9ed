package worker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/engine"
)

func TestOrders(t *testing.T) {
	load := engine.Order{Fence: 10, Kind: engine.Load, OrderID: "o1", Group: "g", Epoch: 10, Model: "proof", ModelVersion: "2"}
	older := load
	older.Fence, older.Kind = 9, engine.Unload
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fence %t", checks), func(t *testing.T) {
			simulate(t, Config{Warm: true, ChecksFence: checks}, func(g *WithT, w *Worker) {
				g.Expect(call(w, "POST", engine.OrderPath, "", load).Code).To(Equal(http.StatusOK))
				g.Expect(stateOf(g, w).Phase).To(Equal(engine.Loading))
				g.Expect(complete(w, "r1", "motto", 1).Header().Get(engine.HeaderNotStarted)).To(Equal("true"))
				time.Sleep(time.Second)
				state := stateOf(g, w)
				g.Expect(state.Phase).To(Equal(engine.Cold))
				g.Expect(state.Model).To(Equal("proof"))
				g.Expect(state.Epoch).To(BeEquivalentTo(10))

				code := call(w, "POST", engine.OrderPath, "", older).Code
				g.Expect(code == http.StatusConflict).To(Equal(checks))
				g.Expect(w.Counts().StaleOrders == 0).To(Equal(checks))
				g.Expect(stateOf(g, w).Phase == engine.Cold).To(Equal(checks))
				g.Expect(stateOf(g, w).Fence).To(BeEquivalentTo(10))
			})
		})
	}
}

func TestRepeatedOrderCutsNothing(t *testing.T) {
	load := engine.Order{Fence: 10, Kind: engine.Load, Group: "g", Epoch: 10, Model: "draft", ModelVersion: "1"}
	simulate(t, Config{Warm: true}, func(g *WithT, w *Worker) {
		call(w, "POST", engine.OrderPath, "", load)
		time.AfterFunc(10*time.Millisecond, func() { call(w, "POST", engine.OrderPath, "", load) })
		g.Expect(complete(w, "r", "motto", 50).Body.String()).To(ContainSubstring("finish_reason"))
		g.Expect(w.Counts().CutByOrder).To(Equal(0))
		time.AfterFunc(10*time.Millisecond, func() {
			call(w, "POST", engine.OrderPath, "", engine.Order{Fence: 11, Kind: engine.Unload})
		})
		g.Expect(complete(w, "r", "motto", 50)).To(BeNil())
		g.Expect(w.Counts().CutByOrder).To(Equal(1))
	})
}

func TestLostOrderAnswer(t *testing.T) {
	simulate(t, Config{Warm: true}, func(g *WithT, w *Worker) {
		w.Inject(Faults{LoseOrderAnswer: 1})
		g.Expect(call(w, "POST", engine.OrderPath, "", engine.Order{Fence: 3, Kind: engine.SetRole, Role: "prefill"})).To(BeNil())
		g.Expect(stateOf(g, w).Role).To(Equal("prefill"))
	})
}

// TestLostMember crashes one member of a group while its first member serves.
func TestLostMember(t *testing.T) {
	g := NewWithT(t)
	config := Config{Model: "draft", ModelVersion: "1", Warm: true, TokenTime: time.Millisecond, MemberCheckInterval: 5 * time.Millisecond}
	config.Name = "a1"
	first := New(config)
	config.Name = "a2"
	second := New(config)
	g.Expect(first.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	g.Expect(second.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	order := engine.Order{Fence: 1, Kind: engine.Load, Group: "g", Epoch: 1, Model: "draft", ModelVersion: "1"}
	order.Peers = []string{second.Address()}
	call(first, "POST", engine.OrderPath, "", order)
	order.Rank, order.Peers = 1, nil
	call(second, "POST", engine.OrderPath, "", order)
	g.Expect(complete(second, "r0", "motto", 1).Code).To(Equal(http.StatusServiceUnavailable), "only the first member serves")
	g.Expect(complete(first, "r1", "motto", 1).Code).To(Equal(http.StatusOK))

	time.AfterFunc(50*time.Millisecond, func() { second.Inject(Faults{Crash: true}) })
	g.Expect(complete(first, "r2", "motto", 50000)).To(BeNil())
	g.Expect(first.Counts().CutByPeer).To(Equal(1))
	g.Expect(stateOf(g, first).Phase).To(Equal(engine.Unloaded))
}
