package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// Servers break off answers that remain unread, and were blamed for it.
func TestAServerIsNotBlamedAfterALongWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		longest time.Duration
		result  dispatch.Result
		want    dispatch.Result
	}{
		{"failed at once", 0, dispatch.Failed, dispatch.Failed},
		{"failed after a short wait", longWait / 2, dispatch.Failed, dispatch.Failed},
		{"failed after a long wait", longWait, dispatch.Failed, dispatch.Canceled},
		{"served after a long wait", longWait, dispatch.Served, dispatch.Served},
		{"declined", longWait, dispatch.Declined, dispatch.Declined},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &clientWriter{longest: c.longest}
			NewWithT(t).Expect(w.excuse(c.result)).To(Equal(c.want))
		})
	}
}
