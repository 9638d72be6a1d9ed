package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/chicorystall/chicorystall/internal/cli"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

// streamCompletion streams a completion with the OpenAI client library and returns its
// text. It calls onFirstChunk, if not nil, when the first chunk arrives.
func streamCompletion(e *entryProcess, prompt string, tokens int, onFirstChunk func()) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://"+e.callersAddress+"/v1"), option.WithAPIKey("library-key"), option.WithMaxRetries(0),
	)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	stream := client.Completions.NewStreaming(ctx, openai.CompletionNewParams{
		Model:     "atelier",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(int64(tokens)),
	})
	var text strings.Builder
	for stream.Next() {
		if text.Len() == 0 && onFirstChunk != nil {
			onFirstChunk()
		}
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String(), stream.Err()
}

// expectCompletion checks that an entry instance streams a complete answer.
func expectCompletion(g Gomega, e *entryProcess, prompt string) {
	const tokens = 12
	text, err := streamCompletion(e, prompt, tokens, nil)
	g.Expect(err).NotTo(HaveOccurred(), e.name)
	g.Expect(text).To(Equal(strings.Join(worker.Answer(prompt, tokens), "")), e.name)
}

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// orderResponse is the response to an order.
type orderResponse struct {
	status  int
	outcome string
	body    string
}

// submitOrder sends an order with an idempotency key.
func submitOrder(e *entryProcess, key string) orderResponse {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callersAddress+"/services/orders/orders", strings.NewReader(`{"Plate":"heron"}`))
	if err != nil {
		return orderResponse{outcome: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer library-key")
	request.Header.Set("Idempotency-Key", key)
	request.GetBody = nil
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return orderResponse{outcome: "no answer: " + err.Error()}
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return orderResponse{response.StatusCode, response.Header.Get("Outcome"), string(body)}
}

// runCount returns how often the order desks ran the order with a key.
func (c *cluster) runCount(key string) int {
	total := 0
	for _, address := range c.deskAddresses {
		var counts struct{ Runs map[string]int }
		c.g.Expect(json.Unmarshal([]byte(getBody(address, "/control")), &counts)).To(Succeed())
		total += counts.Runs[key]
	}
	return total
}

func TestClusterOfProcesses(t *testing.T) {
	c := newCluster(t, 3, 2, 1)
	g := c.g

	t.Run("every entry instance streams a completion and accepts an order", func(t *testing.T) {
		g := NewWithT(t)
		for _, e := range c.entries {
			expectCompletion(g, e, "a motto for "+e.name)
			key := newIdempotencyKey()
			first := submitOrder(e, key)
			g.Expect(first.outcome).To(Equal("complete"), "%s: %+v", e.name, first)
			g.Expect(c.runCount(key)).To(Equal(1))
		}
	})

	t.Run("the same key gets the same answer at another entry instance", func(t *testing.T) {
		g := NewWithT(t)
		key := newIdempotencyKey()
		first := submitOrder(c.entries[0], key)
		g.Expect(submitOrder(c.entries[1], key)).To(Equal(first))
		g.Expect(submitOrder(c.entries[4], key)).To(Equal(first))
		g.Expect(c.runCount(key)).To(Equal(1))
	})

	t.Run("a graceful shutdown completes a stream", func(t *testing.T) {
		g := NewWithT(t)
		const tokens = 150
		stopped := c.entries[5]
		text, err := streamCompletion(stopped, "a long draft", tokens, func() { stopped.signal(syscall.SIGTERM) })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal(strings.Join(worker.Answer("a long draft", tokens), "")))
		g.Eventually(stopped.exited, eventuallyTimeout).Should(BeClosed())
		g.Expect(stopped.cmd.ProcessState.ExitCode()).To(Equal(cli.ExitOK))
		expectCompletion(g, c.entries[4], "after the stop")
	})

	t.Run("an operator's command takes effect", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(c.runCommand("datacentre", "drain", "dc-2")).To(Equal(cli.ExitOK))
		expectCompletion(g, c.entries[2], "served by a neighbour")
		g.Expect(c.runCommand("datacentre", "undrain", "dc-2")).To(Equal(cli.ExitOK))
		g.Expect(c.runCommand("datacentre", "drain", "dc-9")).To(Equal(cli.ExitFailed))
	})
	_ = g
}

func TestOrdersDuringEntryInstanceKill(t *testing.T) {
	c := newCluster(t, 1, 2, 1)
	keys := make([]string, 20)
	firstResponses := make([]orderResponse, len(keys))
	done := make(chan int, len(keys))
	for i := range keys {
		keys[i] = newIdempotencyKey()
		go func() {
			firstResponses[i] = submitOrder(c.entries[0], keys[i])
			done <- i
		}()
	}
	<-done // wait for the first response; others are still pending
	c.entries[0].signal(syscall.SIGKILL)
	for range len(keys) - 1 {
		<-done
	}
	for i, key := range keys {
		second := submitOrder(c.entries[1], key)
		c.g.Expect(second.outcome).NotTo(BeEmpty())
		runCount := c.runCount(key)
		c.g.Expect(runCount).To(BeNumerically("<=", 1), "key %s", key)
		expectOutcomeMatchesRunCount(c.g, firstResponses[i], runCount)
		expectOutcomeMatchesRunCount(c.g, second, runCount)
	}
}

// expectOutcomeMatchesRunCount checks that the outcome reported for an order matches
// the number of times it ran.
func expectOutcomeMatchesRunCount(g Gomega, response orderResponse, runCount int) {
	switch response.outcome {
	case "complete":
		g.Expect(runCount).To(Equal(1), "%+v", response)
	case "not-run":
		g.Expect(runCount).To(Equal(0), "%+v", response)
	}
}

func TestFrozenEntryInstance(t *testing.T) {
	c := newCluster(t, 1, 3, 2)
	frozen := c.entries[2]
	expectCompletion(c.g, frozen, "before the freeze")
	frozen.signal(syscall.SIGSTOP)

	key := newIdempotencyKey()
	c.g.Expect(submitOrder(c.entries[0], key).outcome).To(Equal("complete"))
	for range 6 {
		expectCompletion(c.g, c.entries[0], "during the freeze")
		expectCompletion(c.g, c.entries[1], "during the freeze")
	}
	time.Sleep(3 * time.Second) // longer than the time after which its peers consider it dead
	expectCompletion(c.g, c.entries[0], "after its peers gave it up")

	frozen.signal(syscall.SIGCONT)
	c.g.Eventually(func() error {
		_, err := streamCompletion(frozen, "after the freeze", 4, nil)
		return err
	}, eventuallyTimeout).Should(Succeed())
	c.g.Expect(submitOrder(frozen, key).outcome).To(Equal("complete"))
	c.g.Expect(c.runCount(key)).To(Equal(1))
	for name, address := range c.workerAddresses {
		var counts struct{ MaxInFlight, ColdOverloads int }
		c.g.Expect(json.Unmarshal([]byte(getBody(address, "/control")), &counts)).To(Succeed())
		c.g.Expect(counts.MaxInFlight).To(BeNumerically("<=", 4), name)
		c.g.Expect(counts.ColdOverloads).To(BeZero(), name)
	}
}
