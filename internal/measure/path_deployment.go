package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/deployment"
)

const (
	// startTimeout bounds the wait until all groups of a deployment serve.
	startTimeout = 25 * time.Second
	// completionTimeout bounds one request of a measurement.
	completionTimeout = 30 * time.Second
)

// startDeployment starts a deployment on loopback and waits until it serves.
func startDeployment(plan deployment.Plan) (*deployment.Deployment, error) {
	return startWithin(plan, startTimeout)
}

func startWithin(plan deployment.Plan, timeout time.Duration) (*deployment.Deployment, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	d, err := deployment.Start(context.Background(), plan, logger)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.AwaitGroups(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// failedTable returns the table of a measurement that failed.
func failedTable(name string, seed uint64, err error) Table {
	const maxText = 300
	text := err.Error()
	return Table{Name: name, Seed: seed, Note: "not measured: " + text[:min(len(text), maxText)]}
}

// streamResult holds a caller's measurements of one streamed answer.
type streamResult struct {
	First  time.Duration // time to the first token
	Whole  time.Duration
	Chunks int
}

// errTruncated reports an answer that ended without the end mark [DONE].
var errTruncated = errors.New("streamed answer ended without its end mark [DONE]")

// streamCompletion requests one streamed completion and reads the whole answer.
func streamCompletion(client *http.Client, address, prompt string, tokens int) (streamResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	begun := time.Now()
	response, err := openStream(ctx, client, address, prompt, tokens)
	if err != nil {
		return streamResult{}, err
	}
	defer response.Body.Close()
	var got streamResult
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !isData:
		case string(data) == "[DONE]":
			got.Whole = time.Since(begun)
			return got, nil
		default:
			if got.Chunks == 0 {
				got.First = time.Since(begun)
			}
			got.Chunks++
		}
	}
	return got, errTruncated
}

// openStream starts a streamed completion at an entry instance or a model worker.
func openStream(ctx context.Context, client *http.Client, address, prompt string, tokens int) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": deployment.Model, "prompt": prompt, "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+deployment.AccountKey(deployment.AccountName(0)))
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		response.Body.Close()
		return nil, errors.Newf("status %d of %s: %s", response.StatusCode, address, text)
	}
	return response, nil
}

// newCaller returns a client that keeps up to the given number of idle connections.
func newCaller(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

// milliseconds formats a duration for a table.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.3f ms", float64(d)/float64(time.Millisecond))
}

// sortedTimes is a list of times that is sorted when a quantile is read.
type sortedTimes []time.Duration

func (s sortedTimes) at(share float64) time.Duration {
	slices.Sort(s)
	return at(s, share)
}
