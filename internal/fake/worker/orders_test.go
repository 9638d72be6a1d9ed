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
	staleOrder := load
	staleOrder.Fence, staleOrder.Kind = 9, engine.Unload
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fence %t", checksFence), func(t *testing.T) {
			simulate(t, Config{Warm: true, ChecksFence: checksFence}, func(g *WithT, w *Worker) {
				g.Expect(call(w, "POST", engine.OrderPath, "", load).Code).To(Equal(http.StatusOK))
				g.Expect(stateOf(g, w).Phase).To(Equal(engine.Loading))
				g.Expect(complete(w, "r1", "motto", 1).Header().Get(engine.HeaderNotStarted)).To(Equal("true"))
				time.Sleep(time.Second)
				state := stateOf(g, w)
				g.Expect(state.Phase).To(Equal(engine.Cold))
				g.Expect(state.Model).To(Equal("proof"))
				g.Expect(state.Epoch).To(BeEquivalentTo(10))

				code := call(w, "POST", engine.OrderPath, "", staleOrder).Code
				g.Expect(code == http.StatusConflict).To(Equal(checksFence))
				g.Expect(w.Counts().StaleOrders == 0).To(Equal(checksFence))
				g.Expect(stateOf(g, w).Phase == engine.Cold).To(Equal(checksFence))
				g.Expect(stateOf(g, w).Fence).To(BeEquivalentTo(10))
			})
		})
	}
}

func TestRepeatedOrderAbortsNoRequest(t *testing.T) {
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

// TestLostGroupMember checks that the head of a group aborts its requests and unloads
// the model when another member crashes.
func TestLostGroupMember(t *testing.T) {
	g := NewWithT(t)
	config := Config{Model: "draft", ModelVersion: "1", Warm: true, TokenTime: time.Millisecond, MemberCheckInterval: 5 * time.Millisecond}
	config.Name = "a1"
	head := New(config)
	config.Name = "a2"
	member := New(config)
	g.Expect(head.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	g.Expect(member.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	order := engine.Order{Fence: 1, Kind: engine.Load, Group: "g", Epoch: 1, Model: "draft", ModelVersion: "1"}
	order.Peers = []string{member.Address()}
	call(head, "POST", engine.OrderPath, "", order)
	order.Rank, order.Peers = 1, nil
	call(member, "POST", engine.OrderPath, "", order)
	g.Expect(complete(member, "r0", "motto", 1).Code).To(Equal(http.StatusServiceUnavailable), "only the head takes requests")
	g.Expect(complete(head, "r1", "motto", 1).Code).To(Equal(http.StatusOK))

	time.AfterFunc(50*time.Millisecond, func() { member.Inject(Faults{Crash: true}) })
	g.Expect(complete(head, "r2", "motto", 50000)).To(BeNil())
	g.Expect(head.Counts().CutByPeer).To(Equal(1))
	g.Expect(stateOf(g, head).Phase).To(Equal(engine.Unloaded))
}
