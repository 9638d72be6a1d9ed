package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

const (
	prompt    = "a motto for the plate of a heron"
	maxTokens = 12
)

// startWorker runs a warm worker until the test ends.
func startWorker(t *testing.T, config worker.Config) *worker.Worker {
	t.Helper()
	config.Name, config.Model, config.ModelVersion, config.Warm = "a1", "draft", "1", true
	config.TokenTime = 200 * time.Microsecond
	config.RestartDelay = 20 * time.Millisecond
	config.Heartbeat = 50 * time.Millisecond
	w := worker.New(config)
	NewWithT(t).Expect(w.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	return w
}

func newClient(t *testing.T, address string) *engine.Client {
	c := engine.New(engine.Options{Address: address, IdleTimeout: time.Second, DialTimeout: 5 * time.Second})
	t.Cleanup(c.Close)
	return c
}

func request(id string, stream bool) engine.Request {
	body := fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, maxTokens, stream)
	return engine.Request{ID: id, Path: engine.CompletionPath, Body: []byte(body)}
}

// readText reads the stream's text up to its end or failure.
func readText(s *engine.Stream) (string, error) {
	var text strings.Builder
	for {
		chunk, err := s.Next()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		var object struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal(chunk.Data, &object); err != nil {
			return text.String(), err
		}
		for _, choice := range object.Choices {
			text.WriteString(choice.Text)
		}
	}
}

func wantText() string { return strings.Join(worker.Answer(prompt, maxTokens), "") }

func TestStreamAndComplete(t *testing.T) {
	w := startWorker(t, worker.Config{})
	c := newClient(t, w.Address())

	t.Run("streamed", func(t *testing.T) {
		g := NewWithT(t)
		s, err := c.Stream(t.Context(), request("r1", true))
		g.Expect(err).NotTo(HaveOccurred())
		text, err := readText(s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal(wantText()))
	})

	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		answer, err := c.Complete(t.Context(), request("r2", false))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer.Body)).To(ContainSubstring(wantText()))
	})
}

// TestStreamFaults has each fault end in the whole answer, after a resume where
// the stream broke.
func TestStreamFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults worker.Faults
		broken error // of the first stream; nil when it is whole
		stats  engine.Stats
	}{
		{"cut", worker.Faults{CutStreamAfter: 5, Streams: 1}, engine.ErrCut, engine.Stats{}},
		{"silent", worker.Faults{SilentAfter: 5, Streams: 1}, engine.ErrIdle, engine.Stats{}},
		{"skipped chunk", worker.Faults{SkipChunk: 5, Streams: 1}, engine.ErrGap, engine.Stats{}},
		{"repeated chunk", worker.Faults{RepeatChunk: 5, Streams: 1}, nil, engine.Stats{Repeated: 1}},
		{"crossed chunk", worker.Faults{CrossChunk: 5, Streams: 1}, nil, engine.Stats{Crossed: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			w := startWorker(t, worker.Config{})
			c := newClient(t, w.Address())
			w.Inject(test.faults)

			r := request("r1", true)
			s, err := c.Stream(t.Context(), r)
			g.Expect(err).NotTo(HaveOccurred())
			text, err := readText(s)
			g.Expect(s.Stats).To(Equal(test.stats))
			if test.broken == nil {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(text).To(Equal(wantText()))
				return
			}
			g.Expect(err).To(MatchError(test.broken))
			g.Expect(err).To(MatchError(engine.ErrMaybeSent))
			g.Expect(len(text)).To(BeNumerically("<", len(wantText())))

			s, err = c.Resume(t.Context(), r, s.NextNumber())
			g.Expect(err).NotTo(HaveOccurred())
			rest, err := readText(s)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text + rest).To(Equal(wantText()))
			g.Expect(w.Counts().Started).To(HaveKeyWithValue("r1", 1))
		})
	}
}

// TestConcurrentStreams checks that each stream gets its own text.
func TestConcurrentStreams(t *testing.T) {
	w := startWorker(t, worker.Config{})
	c := newClient(t, w.Address())
	group, ctx := errgroup.WithContext(t.Context())
	for i := range 60 {
		group.Go(func() error {
			own := fmt.Sprint("motto ", i)
			body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, own, maxTokens)
			s, err := c.Stream(ctx, engine.Request{ID: own, Path: engine.CompletionPath, Body: []byte(body)})
			if err != nil {
				return err
			}
			text, err := readText(s)
			if err == nil && text != strings.Join(worker.Answer(own, maxTokens), "") {
				err = fmt.Errorf("stream %d got %q", i, text)
			}
			return err
		})
	}
	NewWithT(t).Expect(group.Wait()).To(Succeed())
}

func TestCancelledContextEndsStream(t *testing.T) {
	g := NewWithT(t)
	w := startWorker(t, worker.Config{})
	c := newClient(t, w.Address())
	w.Inject(worker.Faults{SilentAfter: 3})
	ctx, cancel := context.WithCancel(t.Context())
	s, err := c.Stream(ctx, request("r1", true))
	g.Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = readText(s)
	g.Expect(err).To(MatchError(context.Canceled))
}

// streamWithResume reads a stream to its end and resumes it a few times. The
// error of a resume says nothing about the first sending, so that it comes back
// as one that may have been sent.
func streamWithResume(ctx context.Context, c *engine.Client, r engine.Request) (string, error) {
	s, err := c.Stream(ctx, r)
	if err != nil {
		return "", err
	}
	text, err := readText(s)
	for range 3 {
		if err == nil {
			return text, nil
		}
		resumed, resumeErr := c.Resume(ctx, r, s.NextNumber())
		if resumeErr != nil {
			continue
		}
		s = resumed
		var rest string
		rest, err = readText(s)
		text += rest
	}
	return text, err
}
