package desk

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// call serves one request without a socket. The status is 0 if the connection was
// closed without an answer.
func call(d *Desk, method, path, body string) (status int, answer string) {
	recorder := httptest.NewRecorder()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Idempotency-Key", "k1")
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	d.ServeHTTP(recorder, req)
	return recorder.Code, recorder.Body.String()
}

func TestRecordsSurviveCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := New(Config{})
		status, _ := call(d, "POST", "/orders", `{"Plates":40}`)
		g.Expect(status).To(Equal(http.StatusCreated))
		d.Inject(Faults{CrashAfterRun: 1})
		status, _ = call(d, "POST", "/orders", `{"Plates":2}`)
		g.Expect(status).To(Equal(0))
		status, _ = call(d, "GET", "/orders/2", "")
		g.Expect(status).To(Equal(0), "the service is down")
		time.Sleep(time.Second)
		_, answer := call(d, "GET", "/orders/2", "")
		g.Expect(answer).To(Equal(`{"Number":2,"Body":{"Plates":2}}` + "\n"))
		status, _ = call(d, "GET", "/orders/3", "")
		g.Expect(status).To(Equal(http.StatusNotFound))
		g.Expect(d.Counts().Runs["k1"]).To(Equal(2), "the stand-in does not drop duplicates")
	})
}

func TestCrashAbortsCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := New(Config{Latency: time.Minute, RestartDelay: time.Millisecond})
		time.AfterFunc(time.Second, d.crash)
		status, _ := call(d, "POST", "/orders", `{}`)
		g.Expect(status).To(Equal(0))
		g.Expect(d.Counts().Runs).To(BeEmpty(), "the process that received the call has crashed")
	})
}
