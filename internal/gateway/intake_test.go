package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

// front is a server whose clients are pipes. It has no routes.
type front struct {
	server Server
	group  errgroup.Group
}

// newFront returns a server with a configuration of some limits, or with none.
func newFront(t *testing.T, limits *catalog.Limits) *front {
	f := &front{}
	view := View{}
	if limits != nil {
		view.Catalog = catalog.New(catalog.Content{Limits: *limits})
	}
	f.server = Server{
		Gateway: &Gateway{
			Dialect: Dialect{
				ParseCall: func(r *http.Request) (Call, error) {
					if r.Header.Get("Malformed") != "" {
						return Call{}, errors.New("malformed")
					}
					return Call{ID: "r", Deadline: time.Hour}, nil
				},
				Refusal: func(http.Header, string) {},
			},
			View: func() View { return view }, Metrics: telemetry.NewMetrics(), StaleAfter: 1 << 62,
		},
		Limits: func() catalog.Limits {
			if limits == nil {
				return catalog.Limits{}
			}
			return *limits
		},
	}
	t.Cleanup(func() {
		time.Sleep(2 * time.Second)    // clients that send now and then see that their connection is closed
		f.server.shutdown(t.Context()) // has ended: what is left is cut
		for _, s := range f.server.servers {
			s.Close()
		}
		if err := f.group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// connect opens a connection on which a request's beginning is sent.
func (f *front) connect(t *testing.T, beginning string) net.Conn {
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	f.server.hand(server, pipeAddr{}, &f.group)
	if _, err := io.WriteString(client, beginning); err != nil && beginning != "" {
		t.Fatal(err)
	}
	return client
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// answered waits for an answer for as long as anyone might, and returns its status.
func answered(t *testing.T, client net.Conn) int {
	t.Helper()
	client.SetReadDeadline(time.Now().Add(10 * time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func post(fields string) string { return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" }

const chunked = "Transfer-Encoding: chunked\r\n"

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// drip sends a byte a second until the connection is closed.
func drip(client net.Conn, piece string) {
	for {
		time.Sleep(time.Second)
		if _, err := io.WriteString(client, piece); err != nil {
			return
		}
	}
}

func TestRefusalsDoNotWaitForBodies(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		limits       *catalog.Limits
		status       int
	}{
		{"before a configuration is known", length(1000), nil, http.StatusServiceUnavailable},
		{"of malformed requests", "Malformed: x\r\n" + length(1000), &catalog.Limits{BodyBytes: 5000}, http.StatusBadRequest},
		{"of bodies that are too large", length(6000), &catalog.Limits{BodyBytes: 5000}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newFront(t, c.limits).connect(t, post(c.fields))
				NewWithT(t).Expect(answered(t, client)).To(Equal(c.status))
			})
		})
	}
}

func TestBodiesWithoutEnd(t *testing.T) {
	t.Run("slow ones", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client := newFront(t, &catalog.Limits{BodyBytes: 1 << 20}).connect(t, post(chunked))
			go drip(client, "1\r\nx\r\n")
			NewWithT(t).Expect(answered(t, client)).To(Equal(http.StatusRequestTimeout))
		})
	})
	t.Run("fast ones where the configuration has no limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			client := newFront(t, &catalog.Limits{}).connect(t, post(chunked))
			const piece = 64 << 10
			sent := 0
			go func() {
				for sent < 16*defaultBodyBytes {
					if _, err := fmt.Fprintf(client, "%x\r\n%s\r\n", piece, strings.Repeat("x", piece)); err != nil {
						return
					}
					sent += piece
				}
				io.WriteString(client, "0\r\n\r\n")
			}()
			g.Expect(answered(t, client)).To(Equal(http.StatusRequestEntityTooLarge))
			client.Close()
			synctest.Wait()
			g.Expect(sent).To(BeNumerically("<=", 2*defaultBodyBytes))
		})
	})
}

func TestHeadsWithoutEndBeforeAConfiguration(t *testing.T) {
	t.Run("slow ones", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client := newFront(t, nil).connect(t, "GET / HTTP/1.1\r\nX: ")
			go drip(client, "x")
			client.SetReadDeadline(time.Now().Add(10 * time.Minute))
			_, err := io.Copy(io.Discard, client)
			NewWithT(t).Expect(err).NotTo(HaveOccurred(), "the server closes it")
		})
	})
	t.Run("fast ones", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client := newFront(t, nil).connect(t, "GET / HTTP/1.1\r\nX: ")
			go func() {
				for {
					if _, err := io.WriteString(client, strings.Repeat("x", 4096)); err != nil {
						return
					}
				}
			}()
			NewWithT(t).Expect(answered(t, client)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		})
	})
}

func TestIdleConnectionsBeforeAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFront(t, nil).connect(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		client.SetReadDeadline(time.Now().Add(10 * time.Minute))
		_, err := io.Copy(io.Discard, client)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), "the server closes it")
	})
}

func TestManyCallersStayWithinTheMemory(t *testing.T) {
	const body = 64 << 10
	limits := &catalog.Limits{BodyBytes: body}
	const fit = 8
	t.Run("bodies", func(t *testing.T) {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", body, strings.Repeat("x", body))
		for _, c := range []struct{ name, fields, begun string }{{"of a declared length", length(body), ""}, {"in chunks", chunked, chunk}} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFront(t, limits)
					f.server.MemoryBytes = bodyShare * fit * body
					var begun []net.Conn
					for range fit {
						begun = append(begun, f.connect(t, post(c.fields)+c.begun))
					}
					synctest.Wait()
					refused := f.connect(t, post(c.fields))
					go io.WriteString(refused, c.begun) // ends with the connection
					g.Expect(answered(t, refused)).To(Equal(http.StatusServiceUnavailable))
					refused.Close()
					begun[0].Close()
					synctest.Wait()
					last := f.connect(t, post(c.fields)+c.begun)
					synctest.Wait()
					g.Expect(f.server.Gateway.Open()).To(BeEquivalentTo(fit), "it is read in the place of the one that left")
					last.Close()
				})
			})
		}
	})
	t.Run("a body in chunks counts by what has come of it", func(t *testing.T) {
		g := NewWithT(t)
		i := &intake{limits: func() catalog.Limits { return *limits }}
		i.next = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			g.Expect(i.bodies).To(BeZero())
			io.Copy(io.Discard, r.Body)
			g.Expect(i.bodies).To(BeEquivalentTo(2 * bodyStep))
		})
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bodyStep+1)))
		request.ContentLength = -1
		i.ServeHTTP(httptest.NewRecorder(), request)
		g.Expect(i.bodies).To(BeZero())
	})
	t.Run("connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newFront(t, limits)
			f.server.MemoryBytes = connShare * fit * (defaultHeaderBytes + connBytes)
			var open []net.Conn
			for range fit {
				open = append(open, f.connect(t, ""))
			}
			refused := f.connect(t, "")
			_, err := refused.Read(make([]byte, 1))
			g.Expect(err).To(Equal(io.EOF))
			open[0].Close()
			synctest.Wait()
			g.Expect(answered(t, f.connect(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))).To(Equal(http.StatusNotFound))
		})
	})
}

func TestLimitsThatNoConfigurationShouldHave(t *testing.T) {
	for _, c := range []struct {
		name  string
		given catalog.Limits
		want  catalog.Limits
	}{
		{"none", catalog.Limits{}, catalog.Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		}},
		{"negative", catalog.Limits{HeaderBytes: -1, BodyBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}, catalog.Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		}},
		{"the largest", catalog.Limits{HeaderBytes: 1 << 62, BodyBytes: 1 << 62, HeaderTimeout: 1 << 62, IdleTimeout: 1 << 62}, catalog.Limits{
			HeaderBytes: maxHeaderBytes, BodyBytes: 1 << 62, HeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(bounded(c.given)).To(Equal(c.want))
		})
	}
}
