package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// order submits a print order, and asks again with the same key as long as its
// outcome is not known to be complete.
func (r *runner) order(account, label string) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	told := OrderResult{Key: key.String()}
	for attempt := 1; attempt <= r.options.Attempts; attempt++ {
		told.Outcome, told.Reason = r.submit(account, label, told.Key)
		if told.Outcome == NotRun {
			told.AnyNotRun = true
		}
		if told.Outcome == Complete {
			break
		}
		time.Sleep(retryPause)
	}
	r.report.order(told)
}

func (r *runner) submit(account, label, key string) (Outcome, string) {
	body, err := json.Marshal(map[string]string{"Plate": label})
	if err != nil {
		return Unknown, err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Deadline)
	defer cancel()
	response, err := r.post(ctx, account, "/services/"+r.options.Service+"/orders", body, key)
	if err != nil {
		return NoAnswer, "connection"
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return NoAnswer, "cut"
	}
	outcome := outcomeOf(response)
	if outcome == Complete && !sameOrder(answer, label) {
		return Wrong, "another order's answer"
	}
	return outcome, response.Header.Get("Outcome-Reason")
}

// sameOrder reports whether the answer is to the order with the label.
func sameOrder(answer []byte, label string) bool {
	var record struct {
		Body struct{ Plate string }
	}
	return json.Unmarshal(answer, &record) == nil && record.Body.Plate == label
}

func outcomeOf(response *http.Response) Outcome {
	switch response.Header.Get("Outcome") {
	case "complete":
		return Complete
	case "not-run":
		return NotRun
	}
	return Unknown
}
