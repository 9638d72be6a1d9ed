package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// A server that names the requests per second that it takes got all that its slots and
// loads allowed.
func TestServerGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	limited := http.Header{"Limit": {"2"}}
	const requests, allowed = 40, 2*4 + 1 // in less than four seconds, and the one that reads the limit
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		events int
	}{
		{"in whole answers", http.StatusOK, limited, 3},
		{"in answers that break off", http.StatusOK, http.Header{"Limit": {"2"}, "Content-Length": {"1000"}}, 2},
		{"in errors", http.StatusInternalServerError, limited, 0},
		{"in refusals", http.StatusServiceUnavailable, http.Header{"Limit": {"2"}, "Not-Run": {"1"}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newWordyServer(t, c.status, c.header, c.events)
			places := []dispatch.Place{{ID: "limited", Service: "s", Model: "m", DataCentre: "near", Address: s.Listener.Addr().String(), Slots: 4}}
			t.Run("others are there", func(t *testing.T) {
				g := NewWithT(t)
				sound := newWordyServer(t, http.StatusOK, nil, 3)
				front := newWordyFront(t, append(places, dispatch.Place{
					ID: "sound", Service: "s", Model: "m", DataCentre: "far", Address: sound.Listener.Addr().String(), Slots: 4,
				}))
				for n := range requests {
					status, whole := sendPrompt(g, front, fmt.Sprint("r", n), "common")
					g.Expect(status).To(Equal(http.StatusOK))
					g.Expect(whole).To(BeTrue())
				}
				g.Expect(s.requests.Load()).To(BeNumerically("<=", allowed))
			})
			t.Run("it is the only one", func(t *testing.T) {
				g := NewWithT(t)
				s.requests.Store(0)
				front := newWordyFront(t, places)
				begun := time.Now()
				for n := range requests {
					if time.Since(begun) > 3*time.Second {
						break
					}
					sendPrompt(g, front, fmt.Sprint("r", n), "common")
				}
				g.Expect(s.requests.Load()).To(BeNumerically("<=", allowed))
			})
		})
	}
}
