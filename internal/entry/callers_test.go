package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

const (
	testTimeout        = 30 * time.Second
	testBodyTimeout    = 300 * time.Millisecond
	testMaxBodyBytes   = 4096
	testMaxHeaderBytes = 4096
	chatPath           = "/v1/chat/completions"
	ordersPath         = "/services/" + deployment.Service + "/orders"
)

func startPlan(t *testing.T, plan deployment.Plan) *deployment.Deployment {
	t.Helper()
	g := NewWithT(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, err := deployment.Start(t.Context(), plan, logger)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	g.Expect(d.AwaitGroups(ctx)).To(Succeed())
	return d
}

// idempotencyKeyAt returns an idempotency key whose timestamp is ahead of the
// current time by the duration.
func idempotencyKeyAt(ahead time.Duration) string {
	id := uuid.Must(uuid.NewV7())
	milliseconds := time.Now().Add(ahead).UnixMilli()
	for n := range 6 {
		id[n] = byte(milliseconds >> (8 * (5 - n)))
	}
	return id.String()
}

func chatBody(extra string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Draft a motto."}]%s}`, deployment.Model, extra)
}

// stallingBody is a request body of which one byte arrives and then nothing until it
// is closed.
type stallingBody struct {
	sent bool
	done chan struct{}
}

func (b *stallingBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(p, "{"), nil
	}
	<-b.done
	return 0, io.ErrUnexpectedEOF
}

func (b *stallingBody) Close() error {
	select {
	case <-b.done:
	default:
		close(b.done)
	}
	return nil
}

// call is a request to the callers' API.
type call struct {
	method, path, body string
	header             map[string]string
	stalledBody        bool // the body stops after its first byte
}

func (c call) send(t *testing.T, d *deployment.Deployment, id string) *http.Response {
	t.Helper()
	g := NewWithT(t)
	var body io.Reader = strings.NewReader(c.body)
	if c.stalledBody {
		body = &stallingBody{done: make(chan struct{})}
	}
	request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+d.Entries()[0].Settings.CallersAddress+c.path, body)
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+deployment.AccountKey(deployment.AccountName(0)))
	request.Header.Set("X-Request-Id", id)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestCallersAPIStatusAndOutcome(t *testing.T) {
	d := startPlan(t, deployment.Plan{
		Worker: worker.Config{TokenTime: time.Millisecond},
		Settings: func(s *entry.Settings) {
			s.Limits.BodyTimeout = testBodyTimeout
			s.Limits.MaxBodyBytes = testMaxBodyBytes
			s.Limits.MaxHeaderBytes = testMaxHeaderBytes
		},
	})
	key := idempotencyKeyAt(0)
	withKey := func(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }
	bearer := func(key string) map[string]string { return map[string]string{"Authorization": key} }
	priority := func(text string) map[string]string { return map[string]string{"X-Priority": text} }
	long := strings.Repeat("x", testMaxBodyBytes)

	// The cases run in order, since some repeat the key of an earlier one.
	for n, row := range []struct {
		name    string
		call    call
		status  int
		outcome string
		reason  string
	}{
		{"chat", call{"POST", chatPath, chatBody(`,"max_tokens":4`), nil, false}, 200, "complete", ""},
		{"interactive", call{"POST", chatPath, chatBody(`,"max_tokens":4`), priority("0"), false}, 200, "complete", ""},
		{"models", call{"GET", "/v1/models", "", nil, false}, 200, "complete", ""},
		{"order", call{"POST", ordersPath, `{"plates":1}`, withKey(key), false}, 201, "complete", ""},
		{"order repeated with the same key", call{"POST", ordersPath, `{"plates":1}`, withKey(key), false}, 201, "complete", ""},
		{"same key with another body", call{"POST", ordersPath, `{"plates":2}`, withKey(key), false}, 422, "not-run", "key-reused"},
		{"get an order", call{"GET", ordersPath + "/1", "", nil, false}, 200, "complete", ""},
		{"get an unknown order", call{"GET", ordersPath + "/2", "", nil, false}, 404, "complete", ""},

		{"empty bearer key", call{"GET", "/v1/models", "", bearer(""), false}, 401, "not-run", "unknown-account"},
		{"unknown bearer key", call{"POST", chatPath, chatBody(""), bearer("Bearer other"), false}, 401, "not-run", "unknown-account"},
		{"not a bearer key", call{"POST", chatPath, chatBody(""), bearer("Basic b3RoZXI="), false}, 401, "not-run", "unknown-account"},
		{"unknown path", call{"GET", "/v2/models", "", nil, false}, 404, "not-run", "no-such-path"},
		{"path with two slashes", call{"POST", "/" + chatPath, chatBody(""), nil, false}, 307, "not-run", "moved"},
		{"path with dots", call{"POST", "/services/" + deployment.Service + "/../orders", `{}`, withKey(idempotencyKeyAt(0)), false}, 307, "not-run", "moved"},
		{"order without a path", call{"POST", "/services/" + deployment.Service, `{}`, withKey(idempotencyKeyAt(0)), false}, 307, "not-run", "moved"},
		{"unknown service", call{"POST", "/services/other/orders", `{}`, nil, false}, 404, "not-run", "no-such-service"},

		{"body too large", call{"POST", chatPath, chatBody(`,"user":"` + long + `"`), nil, false}, 413, "not-run", "body-too-large"},
		{"header too large", call{"POST", chatPath, chatBody(""), map[string]string{"X-Long": long}, false}, 431, "not-run", "header-too-large"},
		{"body not received completely", call{"POST", chatPath, "", nil, true}, 408, "not-run", "body-not-received"},

		{"invalid JSON", call{"POST", chatPath, `{"model":`, nil, false}, 400, "not-run", "bad-request"},
		{"JSON array instead of an object", call{"POST", chatPath, `[]`, nil, false}, 400, "not-run", "bad-request"},
		{"no model", call{"POST", chatPath, `{"messages":[]}`, nil, false}, 400, "not-run", "bad-request"},
		{"no messages", call{"POST", chatPath, `{"model":"atelier-70b"}`, nil, false}, 400, "not-run", "bad-request"},
		{"unknown model", call{"POST", chatPath, `{"model":"other","messages":[]}`, nil, false}, 404, "not-run", "no-route"},
		{"max_tokens of 0", call{"POST", chatPath, chatBody(`,"max_tokens":0`), nil, false}, 400, "not-run", "bad-request"},
		{"max_tokens above the limit", call{"POST", chatPath, chatBody(`,"max_tokens":1000000`), nil, false}, 400, "not-run", "bad-request"},
		{"fractional max_tokens", call{"POST", chatPath, chatBody(`,"max_tokens":0.5`), nil, false}, 400, "not-run", "bad-request"},
		{"priority out of range", call{"POST", chatPath, chatBody(""), priority("2"), false}, 400, "not-run", "bad-request"},
		{"priority not a number", call{"POST", chatPath, chatBody(""), priority("high"), false}, 400, "not-run", "bad-request"},

		{"order without a key", call{"POST", ordersPath, `{}`, nil, false}, 400, "not-run", "bad-request"},
		{"order with a malformed key", call{"POST", ordersPath, `{}`, withKey("order-1"), false}, 400, "not-run", "bad-request"},
		{"order with a key of version 4", call{"POST", ordersPath, `{}`, withKey(uuid.NewString()), false}, 400, "not-run", "bad-request"},
		{"order with a key from the future", call{"POST", ordersPath, `{}`, withKey(idempotencyKeyAt(time.Hour)), false}, 400, "not-run", "bad-request"},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			id := fmt.Sprintf("request-%d", n)
			response := row.call.send(t, d, id)
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(row.status), string(body))
			g.Expect(response.Header.Get("Outcome")).To(Equal(row.outcome), string(body))
			g.Expect(response.Header.Get("Outcome-Reason")).To(Equal(row.reason), string(body))
			g.Expect(response.Header.Values("X-Request-Id")).To(Equal([]string{id}))
			if row.reason != "" && row.status >= 400 {
				expectErrorBody(g, body, row.outcome, row.reason)
			}
		})
	}
	runs := map[string]int{}
	for _, service := range d.Desks {
		for key, count := range service.Counts().Runs {
			runs[key] += count
		}
	}
	NewWithT(t).Expect(runs).To(Equal(map[string]int{key: 1}), "only one order must run, and only once")
}

func expectErrorBody(g Gomega, body []byte, outcome, reason string) {
	var parsed struct {
		Error struct{ Message, Code, Outcome string }
	}
	g.Expect(json.Unmarshal(body, &parsed)).To(Succeed(), string(body))
	g.Expect(parsed.Error.Message).NotTo(BeEmpty())
	g.Expect(parsed.Error.Code).To(Equal(reason))
	g.Expect(parsed.Error.Outcome).To(Equal(outcome))
}

// readEvents passes the data of each event to handle and returns the error that
// ended the answer.
func readEvents(response *http.Response, handle func(event string)) error {
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			handle(data)
		}
	}
	return lines.Err()
}

// crashWorkers crashes the workers of a data centre.
func crashWorkers(d *deployment.Deployment, dataCentre string) {
	for name, w := range d.Workers {
		if strings.HasPrefix(name, dataCentre+"-") {
			w.Inject(worker.Faults{Crash: true})
		}
	}
}

func TestStreamsReportOutcome(t *testing.T) {
	const local, remote = "dc-1", "dc-2"
	for _, row := range []struct {
		name      string
		tokens    int
		forwarded bool // the local workers have crashed, so the other data centre answers
		crash     bool
	}{
		{"complete", 8, false, false},
		{"worker crashes", 20000, false, true},
		{"forwarded", 8, true, false},
		{"forwarded and worker crashes", 20000, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			d := startPlan(t, deployment.Plan{
				DataCentres: []string{local, remote},
				Worker:      worker.Config{TokenTime: 2 * time.Millisecond, RestartDelay: time.Hour},
			})
			serving := local
			if row.forwarded {
				crashWorkers(d, local)
				serving = remote
			}
			stream := call{"POST", chatPath, chatBody(fmt.Sprintf(`,"stream":true,"max_tokens":%d`, row.tokens)), nil, false}
			var response *http.Response
			g.Eventually(func() int {
				response = stream.send(t, d, "stream")
				return response.StatusCode
			}, testTimeout).Should(Equal(http.StatusOK))
			var events []string
			err := readEvents(response, func(event string) {
				events = append(events, event)
				if len(events) == 2 && row.crash {
					crashWorkers(d, serving)
				}
			})
			last := events[len(events)-1]
			if !row.crash {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(last).To(Equal("[DONE]"))
				g.Expect(response.Trailer.Get("Outcome")).To(Equal("complete"))
				return
			}
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "the connection must be closed early")
			g.Expect(events).NotTo(ContainElement("[DONE]"))
			expectErrorBody(g, []byte(last), "unknown", "backend-lost")
			g.Expect(response.Trailer.Get("Outcome")).To(BeEmpty())
		})
	}
}
