package exchange

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A request whose context had ended made its idle connection count as fresh, so that an
// unsafe request could be sent on one that its server was about to close.
func TestUnusedConnectionStaysAsOldAsItWas(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") }))
	defer s.Close()
	g, p := NewWithT(t), &Pool{}
	send := func(ctx context.Context, fresh bool) (*Answer, error) {
		answer, err := p.Do(ctx, Server{Address: s.Listener.Addr().String()}, &Request{Method: http.MethodGet, Target: "/", Host: "a", NeedsFreshConn: fresh})
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
		return answer, err
	}
	_, err := send(t.Context(), false)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(2 * freshIdleTimeout)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = send(ended, false)
	g.Expect(NotSent(err)).To(BeTrue())
	answer, err := send(t.Context(), true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Reused).To(BeFalse())
}
