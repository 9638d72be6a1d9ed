package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/broken"
)

// startService starts a worker with one answer and returns a client of it.
func startService(t *testing.T, answer broken.Answer) *engine.Service {
	t.Helper()
	server, err := broken.Start(t.Context(), answer)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := engine.NewService(engine.ServiceOptions{Address: server.Address})
	t.Cleanup(s.Close)
	return s
}

// A caller got the part of an answer that its worker had sent, when the worker reset the
// connection while the call was still being written.
func TestServiceAnswerThatEndsWithItsConnection(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\nhalf of it"
		refusal  = "HTTP/1.1 413 Too Large\r\nContent-Length: 10\r\n\r\nhalf of it"
		tries    = 20 // which system call meets the reset is a race
	)
	for _, c := range []struct {
		name   string
		answer broken.Answer
		status int // of a whole answer; 0 if it isn't whole
	}{
		{"reset while the call is written", broken.Answer{Text: unframed, End: broken.Reset}, 0},
		{"closed while the call is written", broken.Answer{Text: unframed, End: broken.Close}, 0},
		{"closed after the call was read", broken.Answer{Text: unframed, ReadsRequest: true, End: broken.Close}, http.StatusOK},
		{"refusal with a length while the call is written", broken.Answer{Text: refusal, End: broken.None}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for try := range tries {
				g := NewWithT(t)
				c.answer.Delay = time.Duration(try%16) * time.Millisecond
				reply, err := startService(t, c.answer).Do(t.Context(), engine.Call{Method: http.MethodPost, Path: "/orders", Body: make([]byte, broken.UploadBytes)})
				if c.status == 0 {
					g.Expect(err).To(MatchError(engine.ErrMaybeSent), "try %d: the answer was taken for whole", try)
					continue
				}
				g.Expect(err).NotTo(HaveOccurred(), "try %d", try)
				g.Expect(reply.Status).To(Equal(c.status))
				g.Expect(string(reply.Body)).To(Equal("half of it"))
			}
		})
	}
}

// expectNoAnswer checks that each reader of a worker's answers fails with an error that
// says that the request may have run.
func expectNoAnswer(t *testing.T, head string) {
	t.Run("service", func(t *testing.T) {
		answer := broken.Answer{Text: head + "Content-Length: 2\r\n\r\nok", ReadsRequest: true}
		_, err := startService(t, answer).Do(t.Context(), engine.Call{Method: http.MethodPost, Path: "/orders", IdempotencyKey: "k"})
		NewWithT(t).Expect(err).To(MatchError(engine.ErrMaybeSent))
	})
	const body = `{"id":"r1"}`
	text := fmt.Sprintf("%sX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	client := engine.New(engine.Options{Address: serveRaw(t, validState, func(w io.Writer) { io.WriteString(w, text) })})
	t.Cleanup(client.Close)
	request := engine.Request{ID: "r1", Path: engine.ChatPath, BootID: "b1"}
	t.Run("completion", func(t *testing.T) {
		_, err := client.Complete(t.Context(), request)
		NewWithT(t).Expect(err).To(MatchError(engine.ErrMaybeSent))
	})
	t.Run("stream", func(t *testing.T) {
		_, err := client.Stream(t.Context(), request)
		NewWithT(t).Expect(err).To(MatchError(engine.ErrMaybeSent))
	})
	t.Run("control call", func(t *testing.T) {
		_, err := client.State(t.Context())
		NewWithT(t).Expect(err).To(MatchError(engine.ErrMaybeSent))
	})
	t.Run("boot ID", func(t *testing.T) {
		state := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(validState), validState)
		server, err := broken.Start(t.Context(), broken.Answer{Text: state, End: broken.None})
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		client := engine.New(engine.Options{Address: server.Address})
		t.Cleanup(client.Close)
		_, err = client.State(t.Context())
		g.Expect(err).To(MatchError(ContainSubstring("get boot ID")))
		g.Expect(err).To(MatchError(engine.ErrNotSent))
	})
}

// An answer with a blank in the name of a field was passed on.
func TestAnswerWithAnInvalidFieldName(t *testing.T) {
	expectNoAnswer(t, "HTTP/1.1 200 OK\r\nBad Name: x\r\n")
}

// An answer whose status is none of HTTP was passed on.
func TestAnswerWithAnInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) { expectNoAnswer(t, "HTTP/1.1 "+status+" None\r\n") })
	}
}
