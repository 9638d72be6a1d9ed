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

// draft asks for a streamed completion, and tries again when it did not run.
func (r *runner) draft(account string, n int) {
	prompt := strings.Repeat(fmt.Sprintf("Draft %d for the atelier: a motto in Latin. ", n), 6)
	begun := time.Now()
	for attempt := 1; ; attempt++ {
		got := r.askDraft(account, prompt, begun)
		if got.outcome == Complete && got.text != strings.Join(worker.Answer(prompt, r.options.Tokens), "") {
			got.outcome = Wrong
		}
		if got.outcome == Complete || got.outcome == Wrong || attempt >= r.options.Attempts {
			r.report.draft(got)
			return
		}
		time.Sleep(retryPause)
	}
}

// draftAnswer is what a caller got.
type draftAnswer struct {
	outcome Outcome
	reason  string
	text    string
	first   time.Duration // until the first token
	total   time.Duration
}

// streamEvent is a part of a streamed completion.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (r *runner) askDraft(account, prompt string, begun time.Time) draftAnswer {
	body, err := json.Marshal(map[string]any{
		"model": r.options.Model, "prompt": prompt, "max_tokens": r.options.Tokens, "stream": true,
	})
	if err != nil {
		return draftAnswer{outcome: Unknown, reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Deadline)
	defer cancel()
	response, err := r.post(ctx, account, "/v1/completions", body, "")
	if err != nil {
		return draftAnswer{outcome: NoAnswer, reason: "connection"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return draftAnswer{outcome: outcomeOf(response), reason: response.Header.Get("Outcome-Reason")}
	}
	return readDraft(response, begun)
}

// readDraft reads a stream up to its end mark. Without it the answer is cut.
func readDraft(response *http.Response, begun time.Time) draftAnswer {
	got := draftAnswer{outcome: Unknown, reason: "cut"}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == "[DONE]" {
			got.outcome, got.reason = Complete, ""
			break
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			continue
		}
		if event.Error != nil {
			got.reason = event.Error.Code
			break
		}
		if got.first == 0 {
			got.first = time.Since(begun)
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
	}
	got.text = text.String()
	got.total = time.Since(begun)
	return got
}

// post sends one request to an entry instance.
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
	request.GetBody = nil // the transport repeats no request by itself
	return r.client.Do(request)
}
