package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/engine"
)

// call serves one request without a socket. It returns nil if the connection was
// closed without a complete answer.
func call(w *Worker, method, path, id string, body any) (recorder *httptest.ResponseRecorder) {
	text, _ := json.Marshal(body)
	req := httptest.NewRequest(method, path, strings.NewReader(string(text)))
	req.Header.Set(engine.HeaderRequestID, id)
	if id == "urgent" {
		req.Header.Set(engine.HeaderPriority, "0")
	} else {
		req.Header.Set(engine.HeaderPriority, "1")
	}
	defer func() {
		if recover() != nil {
			recorder = nil
		}
	}()
	recorder = httptest.NewRecorder()
	w.ServeHTTP(recorder, req)
	return recorder
}

func complete(w *Worker, id, prompt string, maxTokens int) *httptest.ResponseRecorder {
	return call(w, "POST", engine.CompletionPath, id, map[string]any{"prompt": prompt, "max_tokens": maxTokens})
}

func stateOf(g *WithT, w *Worker) engine.State {
	recorder := call(w, "GET", engine.StatePath, "", nil)
	g.Expect(recorder).NotTo(BeNil())
	var state engine.State
	g.Expect(json.Unmarshal(recorder.Body.Bytes(), &state)).To(Succeed())
	return state
}

// simulate runs the test with a virtual clock on a worker that has a model.
func simulate(t *testing.T, config Config, test func(g *WithT, w *Worker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config.Name, config.Model, config.ModelVersion = "a1", "draft", "1"
		w := New(config)
		defer w.Close()
		test(NewWithT(t), w)
	})
}

// completeConcurrently runs n completions concurrently and waits for all of them.
func completeConcurrently(w *Worker, n, maxTokens int) {
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { complete(w, fmt.Sprint("r", i), "motto", maxTokens) })
	}
	wait.Wait()
}

func TestColdStart(t *testing.T) {
	tests := []struct {
		name      string
		completed int // sent one after the other, before the concurrent requests
		load      int // concurrent requests
		overloads int
		phase     engine.Phase
	}{
		{"within the cold limit", 0, 2, 0, engine.Cold},
		{"above the cold limit", 0, 3, 1, engine.Cold},
		{"above the cold limit after some completions", 2, 5, 1, engine.Cold},
		{"warm", 3, 20, 0, engine.Warm},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, Config{ColdInFlight: 2, WarmAfter: 3}, func(g *WithT, w *Worker) {
				for i := range test.completed {
					complete(w, fmt.Sprint("first", i), "motto", 4)
				}
				bootID := stateOf(g, w).BootID
				completeConcurrently(w, test.load, 4)
				time.Sleep(time.Second)
				state := stateOf(g, w)
				g.Expect(w.Counts().ColdOverloads).To(Equal(test.overloads))
				g.Expect(state.Phase).To(Equal(test.phase))
				g.Expect(state.BootID == bootID).To(Equal(test.overloads == 0))
			})
		})
	}
}

func TestMemoryOverflow(t *testing.T) {
	for maxTokens, overflows := range map[int]int{10: 0, 100: 1} {
		simulate(t, Config{Warm: true, MaxKVTokens: 200}, func(g *WithT, w *Worker) {
			completeConcurrently(w, 4, maxTokens)
			time.Sleep(time.Second)
			g.Expect(w.Counts().MemoryOverflows).To(Equal(overflows))
			g.Expect(w.Counts().Crashes).To(Equal(overflows))
		})
	}
}

func TestBatchTime(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		load   int
		want   time.Duration
	}{
		{"alone", Faults{}, 1, 100 * time.Millisecond},
		{"batch of five", Faults{}, 5, 140 * time.Millisecond},
		{"slow", Faults{SlowFactor: 3}, 1, 300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := Config{Warm: true, TokenTime: 10 * time.Millisecond, BatchSlowdown: 0.1, PrefillTime: time.Nanosecond}
			simulate(t, config, func(g *WithT, w *Worker) {
				w.Inject(test.faults)
				start := time.Now()
				completeConcurrently(w, test.load, 10)
				g.Expect(time.Since(start)).To(BeNumerically("~", test.want, 15*time.Millisecond))
			})
		})
	}
}

func TestPriority(t *testing.T) {
	simulate(t, Config{Warm: true, MaxBatch: 1}, func(g *WithT, w *Worker) {
		var wait sync.WaitGroup
		var order []string
		var mu sync.Mutex
		for _, id := range []string{"first", "batch", "urgent"} {
			wait.Go(func() {
				complete(w, id, "motto", 10)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, id)
			})
			time.Sleep(time.Millisecond)
		}
		wait.Wait()
		g.Expect(order).To(Equal([]string{"first", "urgent", "batch"}))
	})
}

func TestPrefixCache(t *testing.T) {
	prompt := strings.Repeat("lace front ", 40)
	simulate(t, Config{Warm: true, BlockTokens: 16, CacheTokens: 160}, func(g *WithT, w *Worker) {
		cached := func(prompt string) int {
			var answer completion
			g.Expect(json.Unmarshal(complete(w, "r", prompt, 1).Body.Bytes(), &answer)).To(Succeed())
			return answer.Usage.PromptDetails.CachedTokens
		}
		g.Expect(cached(prompt)).To(Equal(0))
		g.Expect(cached(prompt)).To(Equal(96))
		g.Expect(cached(prompt[:300] + "another end")).To(Equal(64))
		g.Expect(cached(strings.Repeat("heat styling", 60))).To(Equal(0))
		g.Expect(cached(prompt)).To(Equal(0), "the prompt was evicted")
	})
}

func TestCacheEvents(t *testing.T) {
	simulate(t, Config{Warm: true, CacheEventLag: time.Second, CacheEventLoss: 3}, func(g *WithT, w *Worker) {
		read := func() (events engine.CacheEvents) {
			body := call(w, "GET", engine.CacheEventsPath+"?After=0", "", nil).Body.Bytes()
			g.Expect(json.Unmarshal(body, &events)).To(Succeed())
			return events
		}
		complete(w, "r", strings.Repeat("x", 64*5), 1)
		g.Expect(read().Events).To(BeEmpty(), "events lag")
		time.Sleep(time.Second)
		var numbers []int64
		for _, event := range read().Events {
			numbers = append(numbers, event.Number)
		}
		g.Expect(numbers).To(Equal([]int64{1, 2, 4, 5}), "every third event is dropped")
	})
}

func TestReportLag(t *testing.T) {
	simulate(t, Config{ColdInFlight: 9, WarmAfter: 1, ReportLag: time.Second}, func(g *WithT, w *Worker) {
		time.Sleep(time.Minute)
		complete(w, "r", "motto", 1)
		g.Expect(stateOf(g, w).Phase).To(Equal(engine.Cold))
		time.Sleep(time.Second)
		g.Expect(stateOf(g, w).Phase).To(Equal(engine.Warm))
	})
}

func TestResumeWindowAndCancel(t *testing.T) {
	simulate(t, Config{Warm: true, ResumeWindow: time.Second}, func(g *WithT, w *Worker) {
		resume := func() *httptest.ResponseRecorder {
			return call(w, "GET", engine.StreamPath+"r1?From=3", "", nil)
		}
		w.Inject(Faults{CutStreamAfter: 2, Streams: 1})
		body := map[string]any{"prompt": "motto", "max_tokens": 4, "stream": true}
		g.Expect(call(w, "POST", engine.CompletionPath, "r1", body)).To(BeNil())
		g.Expect(resume().Body.String()).To(And(HavePrefix("id: 3\n"), HaveSuffix("id: 6\ndata: [DONE]\n\n")))
		time.Sleep(1100 * time.Millisecond)
		g.Expect(resume().Code).To(Equal(http.StatusNotFound))

		time.AfterFunc(10*time.Millisecond, func() { call(w, "DELETE", engine.StreamPath+"r2", "", nil) })
		g.Expect(complete(w, "r2", "motto", 1000)).To(BeNil())
		g.Expect(w.Counts().Completed).NotTo(HaveKey("r2"))
	})
}

func TestFreezeAndLeaving(t *testing.T) {
	simulate(t, Config{Warm: true}, func(g *WithT, w *Worker) {
		w.Inject(Faults{Freeze: true})
		start := time.Now()
		time.AfterFunc(time.Minute, func() { w.Inject(Faults{Leaving: true}) })
		g.Expect(complete(w, "r", "motto", 4).Code).To(Equal(http.StatusOK))
		g.Expect(time.Since(start)).To(BeNumerically(">=", time.Minute))
		g.Expect(stateOf(g, w).Leaving).To(BeTrue())
		g.Expect(w.Counts().StartedWhileLeaving).To(Equal(1))
	})
}

func TestTurnColdKeepsBootID(t *testing.T) {
	simulate(t, Config{Warm: true}, func(g *WithT, w *Worker) {
		before := stateOf(g, w)
		w.Inject(Faults{TurnCold: true})
		after := stateOf(g, w)
		g.Expect(after.BootID).To(Equal(before.BootID))
		g.Expect(after.Phase).To(Equal(engine.Cold))
	})
}
