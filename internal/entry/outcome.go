package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

//go:generate go tool stringer -type=outcome -linecomment

// outcome is what an answer states about the execution of its request.
type outcome int

const (
	outcomeComplete outcome = iota // complete
	outcomeNotRun                  // not-run
	outcomeUnknown                 // unknown
)

// refusal is an answer without a result. It states whether the request may have run
// and why there is no result.
type refusal struct {
	Outcome    outcome
	Status     int
	Reason     string // stable identifier for programs; listed in the documentation for operators
	Detail     string // explanation for people
	RetryAfter time.Duration

	retryElsewhere bool // the request may be tried elsewhere
	notSent        bool // nothing was sent to a backend server
	reportedByPeer bool // another entry instance has already told the caller within the answer
}

func (r *refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// notRunRefusal returns a refusal of a request that did not run and never will.
func notRunRefusal(status int, reason, detail string, args ...any) *refusal {
	return &refusal{Outcome: outcomeNotRun, Status: status, Reason: reason, Detail: fmt.Sprintf(detail, args...)}
}

// unknownRefusal returns a refusal of a request that may have run.
func unknownRefusal(reason, detail string, args ...any) *refusal {
	return &refusal{
		Outcome: outcomeUnknown, Status: http.StatusBadGateway,
		Reason: reason, Detail: fmt.Sprintf(detail, args...),
	}
}

// withRetryAfter returns a copy of the refusal with the time after which a retry may
// succeed.
func (r *refusal) withRetryAfter(wait time.Duration) *refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// errorBody is the error format that clients of model servers expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

func (r *refusal) body() []byte {
	kind := "server_error"
	if r.Status >= 400 && r.Status < 500 {
		kind = "invalid_request_error"
	}
	data, err := json.Marshal(errorBody{errorDetail{
		Message: r.Detail, Type: kind, Code: r.Reason, Outcome: r.Outcome.String(),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"error text can't be encoded"}}`)
	}
	return data
}

func (r *refusal) header() http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, r.Outcome.String())
	header.Set(headerReason, r.Reason)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	return header
}

// send sends the refusal to the caller: as the complete answer if nothing was sent
// yet, else as a last event in place of the end mark.
func (r *refusal) send(answer *answerWriter) error {
	answer.isRefusal = true
	if r.reportedByPeer && answer.started {
		return nil
	}
	if !answer.started {
		return answer.writeWhole(r.Status, r.header(), r.body())
	}
	event := fmt.Sprintf("data: %s\n\n", r.body())
	return answer.WriteChunk([]byte(event))
}
