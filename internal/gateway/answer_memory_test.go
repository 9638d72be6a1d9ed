package gateway_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/pkg/catalog"
)

// smallBufferListener accepts connections for which the system holds little.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
}

// Clients that read slowly held the memory of an answer each, without a bound.
func TestClientsThatPauseStayWithinTheMemoryForAnswers(t *testing.T) {
	const (
		clients, parts = 6, 3
		answerBytes    = parts * partBytes
		pause          = 2 * time.Second
	)
	for _, c := range []struct {
		name  string
		whole int64 // answers for which there is memory
	}{
		{"for none", 0},
		{"for some", 2},
		{"for all", clients},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server := newLongServer(t, parts)
			gw := newPromptGateway(twoPlaces(server.Listener.Addr().String()))
			setRoute(gw, catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 1})
			gw.MemoryBytes = 4 * (c.whole*answerBytes + answerBytes/2)
			front := httptest.NewUnstartedServer(gw)
			front.Listener = smallBufferListener{front.Listener}
			front.Start()
			defer front.Close()
			var group errgroup.Group
			for range clients {
				conn, err := net.Dial("tcp4", front.Listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				group.Go(func() error {
					n, err := pausedAnswer(conn, pause)
					if err == nil && n != answerBytes {
						err = errors.Newf("%d bytes of %d", n, answerBytes)
					}
					return err
				})
			}
			g.Eventually(server.runs.Load).Should(BeEquivalentTo(clients))
			g.Eventually(gw.AnswerBytes).Should(Equal(c.whole * answerBytes))
			g.Consistently(gw.AnswerBytes, pause/4).Should(Equal(c.whole * answerBytes))
			g.Expect(group.Wait()).To(Succeed())
			g.Eventually(gw.AnswerBytes).Should(BeZero())
		})
	}
}
