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

// outcome is what an answer says about the execution of its request.
type outcome int

const (
	outcomeComplete outcome = iota // complete
	outcomeNotRun                  // not-run
	outcomeUnknown                 // unknown
)

// refusal is an answer without a result. It says whether the request may have
// run, and why there is no result.
type refusal struct {
	Outcome    outcome
	Status     int
	Reason     string // stable word for programs, as in the operators' page
	Detail     string // sentence for people
	RetryAfter time.Duration

	retriable bool // the request may be tried at another place
	neverSent bool // nothing was written to a backend server
	told      bool // the caller was told by another entry instance
}

func (r *refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// notRun returns a refusal of a request that did not run and never will.
func notRun(status int, reason, detail string, args ...any) *refusal {
	return &refusal{Outcome: outcomeNotRun, Status: status, Reason: reason, Detail: fmt.Sprintf(detail, args...)}
}

// unknown returns a refusal of a request that may have run.
func unknown(reason, detail string, args ...any) *refusal {
	return &refusal{
		Outcome: outcomeUnknown, Status: http.StatusBadGateway,
		Reason: reason, Detail: fmt.Sprintf(detail, args...),
	}
}

// after returns the refusal with a time after which a retry may succeed.
func (r *refusal) after(wait time.Duration) *refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// errorBody is the error form that clients of model servers read.
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

// send gives the refusal to the caller: as the whole answer when nothing was
// sent yet, else as a last event that is not the end mark.
func (r *refusal) send(to *answer) error {
	to.refused = true
	if r.told && to.started {
		return nil
	}
	if !to.started {
		return to.whole(r.Status, r.header(), r.body())
	}
	event := fmt.Sprintf("data: %s\n\n", r.body())
	return to.Chunk([]byte(event))
}
