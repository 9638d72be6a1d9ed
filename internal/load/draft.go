package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

// runDraft requests a streamed completion. It retries until the answer is complete or
// the attempts are used up, and reports the last result.
func (r *runner) runDraft(account string, n int) {
	prompt := strings.Repeat(fmt.Sprintf("Draft %d for the atelier: a motto in Latin. ", n), 6)
	start := time.Now()
	for attempt := 1; ; attempt++ {
		result := r.sendDraft(account, prompt, start)
		if result.outcome == Complete && result.text != strings.Join(worker.Answer(prompt, r.options.Tokens), "") {
			result.outcome = Wrong
		}
		if result.outcome == Complete || result.outcome == Wrong || attempt >= r.options.Attempts {
			r.report.addDraft(result)
			return
		}
		time.Sleep(retryPause)
	}
}

// draftResult is the result of one attempt at a draft.
type draftResult struct {
	outcome    Outcome
	reason     string
	text       string
	firstToken time.Duration // time from the start of the draft to the first token
	total      time.Duration
}

// streamEvent is one event of a streamed completion.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (r *runner) sendDraft(account, prompt string, start time.Time) draftResult {
	body, err := json.Marshal(map[string]any{
		"model": r.options.Model, "prompt": prompt, "max_tokens": r.options.Tokens, "stream": true,
	})
	if err != nil {
		return draftResult{outcome: Unknown, reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Deadline)
	defer cancel()
	response, err := r.post(ctx, account, "/v1/completions", body, "")
	if err != nil {
		return draftResult{outcome: NoAnswer, reason: "connection"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return draftResult{outcome: outcomeOf(response), reason: response.Header.Get("Outcome-Reason")}
	}
	return readDraft(response, start)
}

// readDraft reads a stream up to its [DONE] event. If the stream ends without one, the
// outcome is unknown and the reason is "cut".
func readDraft(response *http.Response, start time.Time) draftResult {
	result := draftResult{outcome: Unknown, reason: "cut"}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == "[DONE]" {
			result.outcome, result.reason = Complete, ""
			break
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			continue
		}
		if event.Error != nil {
			result.reason = event.Error.Code
			break
		}
		if result.firstToken == 0 {
			result.firstToken = time.Since(start)
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
	}
	result.text = text.String()
	result.total = time.Since(start)
	return result
}

// post sends a POST request to the next entry instance. It sets the idempotency key
// unless that is empty.
func (r *runner) post(ctx context.Context, account, path string, body []byte, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.target()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+account)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	request.GetBody = nil // keeps the transport from retrying the request
	return r.client.Do(request)
}
