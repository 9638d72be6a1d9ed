package engine_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

func TestOrder(t *testing.T) {
	g := NewWithT(t)
	w := startWorker(t, worker.Config{ChecksFence: true})
	c := newClient(t, w.Address())
	state, err := c.State(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	order := engine.Order{Fence: 7, Kind: engine.SetRole, OrderID: "o1", Role: "prefill"}

	answer, err := c.Order(t.Context(), state.BootID, order)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal(engine.OrderAnswer{BootID: state.BootID, Fence: 7}))

	order.Fence = 6
	_, err = c.Order(t.Context(), state.BootID, order)
	g.Expect(err).To(BeAssignableToTypeOf(&engine.RefusedError{}))
	g.Expect(err).To(HaveField("Status", http.StatusConflict))

	order.Fence = 8
	w.Inject(worker.Faults{LoseOrderAnswer: 1})
	_, err = c.Order(t.Context(), state.BootID, order)
	g.Expect(err).To(MatchError(engine.ErrMaybeSent))

	c.Close()
	_, err = c.Order(t.Context(), "another boot", order)
	g.Expect(err).To(MatchError(engine.ErrBootChanged))
	g.Expect(w.Counts().Orders).To(HaveLen(2))
}

func TestCancel(t *testing.T) {
	g := NewWithT(t)
	w := startWorker(t, worker.Config{})
	c := newClient(t, w.Address())
	w.Inject(worker.Faults{SilentAfter: 2})
	r := request("r1", true)
	s, err := c.Stream(t.Context(), r)
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	g.Expect(c.Cancel(t.Context(), r)).To(Succeed())
	_, err = c.Resume(t.Context(), r, 1)
	g.Expect(err).To(HaveField("Status", http.StatusNotFound))
}

func TestRefusals(t *testing.T) {
	g := NewWithT(t)
	w := worker.New(worker.Config{Name: "a1"})
	g.Expect(w.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	_, err := newClient(t, w.Address()).Stream(t.Context(), request("r1", true))
	g.Expect(err).To(HaveField("Status", http.StatusServiceUnavailable))
	g.Expect(err).To(HaveField("NotStarted", true))
	g.Expect(err).To(HaveField("RetryAfter", time.Second))
	g.Expect(w.Counts().Started).To(BeEmpty())
}

func TestCacheMovesBetweenEngines(t *testing.T) {
	g := NewWithT(t)
	from := newClient(t, startWorker(t, worker.Config{BlockTokens: 4}).Address())
	to := newClient(t, startWorker(t, worker.Config{BlockTokens: 4}).Address())
	_, err := from.Complete(t.Context(), request("r1", false))
	g.Expect(err).NotTo(HaveOccurred())
	events, err := from.CacheEvents(t.Context(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	blocks := worker.PromptBlocks(prompt, 4)
	g.Expect(events.Events).To(HaveLen(len(blocks)))
	g.Expect(events.Events[0].Hash).To(Equal(blocks[0].Hash))

	cache, err := from.Export(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(to.Import(t.Context(), cache)).To(Succeed())
	answer, err := to.Complete(t.Context(), request("r2", false))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(ContainSubstring(fmt.Sprintf(`"cached_tokens":%d`, blocks[len(blocks)-1].Tokens)))
}
