package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/readlimit"
)

const (
	// callTimeout bounds one call. It is long because the entry instance answers a
	// command only after waiting for the other entry instances.
	callTimeout = 30 * time.Second
	// maxAnswerBytes is the maximum size of an answer's body: twice that of the largest
	// configuration that an entry instance accepts.
	maxAnswerBytes = 32 << 20
	maxHeaderBytes = 64 << 10 // maximum size of an answer's header
)

var httpClient = http.Client{Transport: &answer.Transport{
	Transport: http.Transport{DialContext: answer.Dial(nil), MaxResponseHeaderBytes: maxHeaderBytes},
}}

// Client is a client of the operators' API of one entry instance.
type Client struct {
	Address string // IP:port of the instance's operators' address
}

// Send sends a command. An error means that there is no valid answer. The command may
// still have taken effect, and may be sent again with the same ID.
func (c Client) Send(ctx context.Context, command Command) (Result, error) {
	var result Result
	err := c.call(ctx, http.MethodPost, CommandPath, command, &result)
	return result, err
}

// Override sets or removes the drain mark of a data centre at this entry instance only.
func (c Client) Override(ctx context.Context, override Override) (Result, error) {
	var result Result
	err := c.call(ctx, http.MethodPost, OverridePath, override, &result)
	return result, err
}

// SkipLost makes the entry instance continue after log entries that expired before it
// read them.
func (c Client) SkipLost(ctx context.Context) (Result, error) {
	var result Result
	err := c.call(ctx, http.MethodPost, SkipLostPath, struct{}{}, &result)
	return result, err
}

// Status returns the status of the entry instance. If instances is true, the entry
// instance also calls all others and lists which of them answered.
func (c Client) Status(ctx context.Context, instances bool) (Status, error) {
	path := StatusPath
	if instances {
		path += "?Instances=true"
	}
	var status Status
	err := c.call(ctx, http.MethodGet, path, nil, &status)
	return status, err
}

// Configuration returns the configuration in force at the entry instance.
func (c Client) Configuration(ctx context.Context) (Configuration, error) {
	var config Configuration
	err := c.call(ctx, http.MethodGet, ConfigPath, nil, &config)
	return config, err
}

// call makes one call. It sends in as JSON, or an empty body if in is nil, and decodes
// the answer into out, whatever the status.
func (c Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, &body)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "call entry instance at %s", c.Address)
	}
	defer response.Body.Close()
	data, err := readlimit.All(response.Body, maxAnswerBytes)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	return errors.Wrapf(err, "read answer of %s %s with status %d", method, path, response.StatusCode)
}
