package answer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/fake/broken"
)

// fetch sends a request with a body and reads the answer.
func fetch(ctx context.Context, transport *answer.Transport, method, address string, size int) (string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A reset that a write of the request meets is reported by the body, also if it is the
// last write, of which net/http doesn't tell. Without Dial that is lost.
func TestResetDuringTheLastWrite(t *testing.T) {
	for _, c := range []struct {
		name string
		wrap func(answer.DialFunc) answer.DialFunc
		want error
	}{
		{"Dial", answer.Dial, syscall.ECONNRESET},
		{"no Dial", func(dial answer.DialFunc) answer.DialFunc { return dial }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			transport := &answer.Transport{Transport: http.Transport{
				DialContext: c.wrap(func(context.Context, string, string) (net.Conn, error) {
					return broken.NewConn("HTTP/1.1 200 OK\r\n\r\nhalf of it", 0), nil
				}),
			}}
			body, err := fetch(t.Context(), transport, http.MethodPost, "server", 10)
			g.Expect(body).To(Equal("half of it"))
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(c.want))
		})
	}
}

// A server that ends may close its connection without a reset.
func TestEndBeforeTheRequestIsWritten(t *testing.T) {
	for name, delay := range map[string]time.Duration{"between two writes": 0, "during a write": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server, err := broken.Start(t.Context(), broken.Answer{
				Text: "HTTP/1.1 200 OK\r\n\r\nhalf of it", Delay: delay, End: broken.HalfCloseUnread,
			})
			g.Expect(err).NotTo(HaveOccurred())
			transport := &answer.Transport{Transport: http.Transport{DialContext: answer.Dial(nil)}}
			_, err = fetch(t.Context(), transport, http.MethodPost, server.Address, broken.UploadBytes)
			g.Expect(errors.Is(err, answer.ErrEarlyEnd)).To(BeTrue(), "error %v", err)
		})
	}
}

func TestSoundAnswersAreWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		head   string
		body   string
		want   string
	}{
		{"a length", http.MethodPost, "Content-Length: 9\r\n", "all of it", "all of it"},
		{"chunks", http.MethodPost, "Transfer-Encoding: chunked\r\n", "9\r\nall of it\r\n0\r\n\r\n", "all of it"},
		{"the end of the connection", http.MethodPost, "", "all of it", "all of it"},
		{"no body", http.MethodHead, "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 20 {
				g := NewWithT(t)
				server, err := broken.Start(t.Context(), broken.Answer{Text: "HTTP/1.1 200 OK\r\n" + c.head + "\r\n" + c.body, ReadsRequest: true})
				g.Expect(err).NotTo(HaveOccurred())
				transport := &answer.Transport{Transport: http.Transport{DialContext: answer.Dial(nil)}}
				body, err := fetch(t.Context(), transport, c.method, server.Address, broken.UploadBytes)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(c.want))
			}
		})
	}
}

// The end of ctx ends a body that waits for the request to be written, but not one whose
// request was written.
func TestWaitEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(io.ErrNoProgress)
	write := answer.NewWrite()
	read := func() error {
		_, err := io.ReadAll(answer.Body(ctx, httptest.NewRecorder().Result(), write))
		return err
	}
	g.Expect(read()).To(MatchError(io.ErrNoProgress))
	write.End(nil)
	for range 20 {
		g.Expect(read()).To(Succeed())
	}
}
