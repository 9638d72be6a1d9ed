package engine_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/proxy"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

// TestMain sets rapid's seed and number of checks unless the command line does.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "25"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// TestRandomFaults sends requests under random faults. It compares the outcome that the
// client reports with the worker's count of started requests and with the expected
// text.
func TestRandomFaults(t *testing.T) {
	w := startWorker(t, worker.Config{})
	p := startProxy(t, w.Address())
	direct := newClient(t, w.Address())
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w.Inject(worker.Faults{})
		p.CutNew(proxy.Unlimited, proxy.Unlimited)
		c := engine.New(engine.Options{Address: p.Address(), IdleTimeout: 200 * time.Millisecond})
		defer c.Close()
		chunk := rapid.IntRange(0, maxTokens+3)
		t.Repeat(map[string]func(*rapid.T){
			"Fault": func(t *rapid.T) {
				w.Inject(worker.Faults{
					CutStreamAfter: chunk.Draw(t, "CutStreamAfter"),
					RepeatChunk:    chunk.Draw(t, "RepeatChunk"),
					CrossChunk:     chunk.Draw(t, "CrossChunk"),
					SkipChunk:      chunk.Draw(t, "SkipChunk"),
					Streams:        1,
				})
			},
			"Crash": func(t *rapid.T) {
				w.Inject(worker.Faults{Crash: true})
				if rapid.Bool().Draw(t, "Wait") {
					g.Eventually(direct.State).WithArguments(context.Background()).WithTimeout(5 * time.Second).
						ShouldNot(BeZero())
				}
			},
			"CutNew": func(t *rapid.T) {
				p.CutNew(rapid.IntRange(-1, 600).Draw(t, "ToTarget"), rapid.IntRange(-1, 3000).Draw(t, "ToCaller"))
			},
			"CutOpen":  func(t *rapid.T) { p.CutOpen() },
			"Unharmed": func(t *rapid.T) { p.CutNew(proxy.Unlimited, proxy.Unlimited) },
			"Stream": func(t *rapid.T) {
				number++
				r := request(fmt.Sprint("m", number), true)
				text, err := streamWithResume(t.Context(), c, r)
				expectOutcome(g, err, w.Counts().Started[r.ID], text == wantText())
			},
			"Complete": func(t *rapid.T) {
				number++
				r := request(fmt.Sprint("m", number), false)
				answer, err := c.Complete(t.Context(), r)
				complete := err == nil && g.Expect(string(answer.Body)).To(ContainSubstring(wantText()))
				expectOutcome(g, err, w.Counts().Started[r.ID], complete)
			},
		})
	})
}

// expectOutcome checks the outcome that the client reported: started is how often the
// worker started the request, and complete whether the answer was complete.
func expectOutcome(g *WithT, err error, started int, complete bool) {
	var refused *engine.RefusedError
	switch {
	case err == nil:
		g.Expect(complete).To(BeTrue(), "client reported a complete answer")
		g.Expect(started).To(Equal(1))
	case errors.Is(err, engine.ErrNotSent):
		g.Expect(started).To(Equal(0), "client reported that the request was not sent")
	case errors.As(err, &refused) && refused.NotStarted:
		g.Expect(started).To(Equal(0), "client reported that the request did not start")
	default:
		g.Expect(started).To(BeNumerically("<=", 1))
	}
}
