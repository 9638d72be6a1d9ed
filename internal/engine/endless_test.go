package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/endless"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

// stopAfter ends an answer that the client doesn't end.
const stopAfter = 16 << 20

func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	for part, want := range map[endless.Part]error{
		endless.StatusLine:      engine.ErrMaybeSent,
		endless.HeaderValue:     engine.ErrMaybeSent,
		endless.HeaderLines:     engine.ErrMaybeSent,
		endless.Informational:   engine.ErrMaybeSent,
		endless.ChunkExtension:  engine.ErrMaybeSent,
		endless.ChunkExtensions: engine.ErrMaybeSent,
		endless.Trailers:        engine.ErrMaybeSent,
		endless.EventLine:       engine.ErrTooLarge,
		endless.EventLines:      engine.ErrTooLarge,
		endless.EmptyEvents:     engine.ErrTooLarge,
		endless.RepeatedEvent:   engine.ErrTooLarge,
	} {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			var stopped atomic.Int64
			c := engine.New(engine.Options{
				Address: serveRaw(t, goodState, func(w io.Writer) {
					if _, err := part.Write(w, "X-Request-Id: r1\r\n", stopAfter); err == nil {
						stopped.Add(1)
					}
				}),
				MaxEventBytes:  10_000,
				MaxAnswerBytes: 100_000,
			})
			defer c.Close()
			s, err := c.Stream(t.Context(), engine.Request{ID: "r1", Path: engine.ChatPath, BootID: "b1"})
			if err == nil {
				_, err = readText(s)
			}
			g.Expect(err).To(MatchError(want))
			g.Expect(stopped.Load()).To(BeZero(), "the answer was read until it stopped by itself")
		})
	}
}

func TestStandInsAnswerWithoutEnd(t *testing.T) {
	t.Run("model worker", func(t *testing.T) {
		g := NewWithT(t)
		w := worker.New(worker.Config{Warm: true})
		g.Expect(w.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
		c := engine.New(engine.Options{Address: w.Address()})
		defer c.Close()
		w.Inject(worker.Faults{Endless: endless.HeaderLines})
		_, err := c.Stream(t.Context(), engine.Request{ID: "r1", Path: engine.ChatPath, Body: []byte(`{}`)})
		g.Expect(err).To(MatchError(engine.ErrMaybeSent))
	})
	t.Run("plain service", func(t *testing.T) {
		g := NewWithT(t)
		d := desk.New(desk.Config{})
		server := httptest.NewServer(d)
		defer server.Close()
		s := engine.NewService(engine.ServiceOptions{Address: server.Listener.Addr().String()})
		defer s.Close()
		d.Inject(desk.Faults{Endless: endless.Body})
		_, err := s.Do(t.Context(), engine.Call{ID: "r1", Method: http.MethodGet, Path: "/orders/1"})
		g.Expect(err).To(MatchError(engine.ErrTooLarge))
	})
}
