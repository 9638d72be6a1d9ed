package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// runOrder submits an order. It retries with the same idempotency key until the
// outcome is complete or the attempts are used up.
func (r *runner) runOrder(account, label string) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	result := OrderResult{Key: key.String()}
	for attempt := 1; attempt <= r.options.Attempts; attempt++ {
		result.Outcome, result.Reason = r.sendOrder(account, label, result.Key)
		if result.Outcome == NotRun {
			result.AnyNotRun = true
		}
		if result.Outcome == Complete {
			break
		}
		time.Sleep(retryPause)
	}
	r.report.addOrder(result)
}

func (r *runner) sendOrder(account, label, key string) (Outcome, string) {
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
	if outcome == Complete && !isAnswerToOrder(answer, label) {
		return Wrong, "another order's answer"
	}
	return outcome, response.Header.Get("Outcome-Reason")
}

// isAnswerToOrder reports whether the answer is that of the order with the label.
func isAnswerToOrder(answer []byte, label string) bool {
	var record struct {
		Body struct{ Plate string }
	}
	return json.Unmarshal(answer, &record) == nil && record.Body.Plate == label
}

// outcomeOf returns the outcome that the Outcome header of a response states.
func outcomeOf(response *http.Response) Outcome {
	switch response.Header.Get("Outcome") {
	case "complete":
		return Complete
	case "not-run":
		return NotRun
	}
	return Unknown
}
