package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// lossRecord collects the losses that connections report.
type lossRecord struct {
	mu     sync.Mutex
	losses []Loss
}

func (r *lossRecord) add(l Loss, _ telemetry.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses = append(r.losses, l)
}

func (r *lossRecord) get() []Loss {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Loss{}, r.losses...)
}

// recordingListener wraps its connections.
type recordingListener struct {
	net.Listener
	record *lossRecord
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, OnLoss: l.record.add}, nil
}

// newRecordingServer returns a server that reports losses, and a connection to it.
func newRecordingServer(t *testing.T, handler http.HandlerFunc) (*httptest.Server, *lossRecord, net.Conn) {
	record := &lossRecord{}
	s := httptest.NewUnstartedServer(handler)
	s.Listener = recordingListener{s.Listener, record}
	s.Config.ConnContext = Context
	s.Config.ConnState = func(c net.Conn, state http.ConnState) { c.(*Conn).onState(state) }
	s.Start()
	t.Cleanup(s.Close)
	client, err := net.Dial("tcp4", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return s, record, client
}

func sendRequest(g *WithT, c net.Conn) {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
}

func TestLossesAreReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		then    func(g *WithT, client net.Conn)
		want    []Loss
	}{
		{"a whole answer", func(w http.ResponseWriter, _ *http.Request) {}, func(g *WithT, client net.Conn) {
			_, err := http.ReadResponse(bufio.NewReader(client), nil)
			g.Expect(err).NotTo(HaveOccurred())
		}, nil},
		{"an answer that is sent too late, after its handler", func(w http.ResponseWriter, r *http.Request) {
			Of(r).Begin("r")
			fmt.Fprint(w, "x")
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
		}, nil, []Loss{AnswerNotSent}},
		{"a handler that cuts the connection", func(_ http.ResponseWriter, r *http.Request) {
			Of(r).Begin("r")
			panic(http.ErrAbortHandler)
		}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, record, client := newRecordingServer(t, c.handler)
			sendRequest(g, client)
			if c.then != nil {
				c.then(g, client)
			}
			if c.want == nil {
				g.Consistently(record.get, "100ms").Should(BeEmpty())
				return
			}
			g.Eventually(record.get).Should(Equal(c.want))
		})
	}
	t.Run("a request that is read after http.Server.Shutdown", func(t *testing.T) {
		g := NewWithT(t)
		s, record, client := newRecordingServer(t, func(http.ResponseWriter, *http.Request) {})
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Config.Shutdown(t.Context()) }()
		g.Eventually(func() error {
			conn, err := net.Dial("tcp4", s.Listener.Addr().String())
			if err == nil {
				conn.Close()
			}
			return err
		}).Should(HaveOccurred())
		_, err = io.WriteString(client, "Host: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(record.get).Should(Equal([]Loss{RequestDropped}))
	})
	t.Run("a request on an idle connection that is closed unread", func(t *testing.T) {
		g := NewWithT(t)
		record := &lossRecord{}
		l, err := exchange.Listen(netip.MustParseAddrPort("127.0.0.1:0")) // whose connections are wrapped, too
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		client, err := net.Dial("tcp4", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		server, err := recordingListener{l, record}.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		sendRequest(g, client)
		g.Eventually(func() int { return receiveNow(server.(*Conn).Conn, make([]byte, 1), peek) }).Should(Equal(1))
		g.Expect(server.Close()).To(Succeed())
		g.Expect(record.get()).To(Equal([]Loss{RequestUnread}))
	})
}
