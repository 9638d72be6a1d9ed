package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
)

const maxRequestBytes = 8 << 20

// chatRequest and completionRequest hold the fields that the stand-in heeds.
type chatRequest struct {
	Messages            []chatMessage `json:"messages"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	commonRequest
}

type completionRequest struct {
	Prompt string `json:"prompt"`
	commonRequest
}

type commonRequest struct {
	Model         string `json:"model"`
	MaxTokens     int    `json:"max_tokens"`
	Stream        bool   `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatPrompt returns the prompt that a chat's messages, given as pairs of role
// and content, amount to.
func ChatPrompt(pairs ...string) string {
	var prompt strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&prompt, "%s: %s\n", pairs[i], pairs[i+1])
	}
	return prompt.String()
}

func (w *Worker) handleChat(p *process, rw http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if !readRequest(rw, r, &request) {
		return
	}
	var pairs []string
	for _, m := range request.Messages {
		pairs = append(pairs, m.Role, contentText(m.Content))
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = request.MaxCompletionTokens
	}
	p.serve(rw, r, request.commonRequest, ChatPrompt(pairs...), true)
}

func (w *Worker) handleCompletion(p *process, rw http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !readRequest(rw, r, &request) {
		return
	}
	p.serve(rw, r, request.commonRequest, request.Prompt, false)
}

// contentText returns a message's text, or the raw JSON of a list of parts.
func contentText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	return string(content)
}

func readRequest(rw http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxRequestBytes))
	if err := decoder.Decode(into); err != nil {
		refuse(rw, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// refuse answers in the OpenAI form that the request did not start.
func refuse(rw http.ResponseWriter, status int, text string) {
	rw.Header().Set(engine.HeaderNotStarted, "true")
	if status == http.StatusServiceUnavailable {
		rw.Header().Set("Retry-After", "1")
	}
	fake.WriteJSON(rw, status, map[string]any{"error": map[string]string{"message": text, "type": "engine"}})
}

func (p *process) serve(rw http.ResponseWriter, r *http.Request, request commonRequest, prompt string, chat bool) {
	j, err := newJob(r, request, prompt, chat)
	if err != nil {
		refuse(rw, http.StatusBadRequest, err.Error())
		return
	}
	w := p.worker
	w.mu.Lock()
	if reason := p.cannotServe(request.Model); reason != "" {
		w.mu.Unlock()
		refuse(rw, http.StatusServiceUnavailable, reason)
		return
	}
	j.model = p.state.Model
	alive := p.admit(j)
	p.identify(rw, j)
	w.mu.Unlock()
	if !alive {
		fake.AbortRequest()
	}
	if request.Stream {
		p.copyStream(rw, r, j, 1)
	} else {
		p.copyWhole(rw, r, j)
	}
}

func newJob(r *http.Request, request commonRequest, prompt string, chat bool) (*job, error) {
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxMaxTokens {
		return nil, fmt.Errorf("max_tokens %d is not between 0 and %d", request.MaxTokens, maxMaxTokens)
	}
	priority, err := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if err != nil && r.Header.Get(engine.HeaderPriority) != "" {
		return nil, fmt.Errorf("priority %q is not a number", r.Header.Get(engine.HeaderPriority))
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	return &job{
		id:           id,
		chat:         chat,
		withUsage:    request.StreamOptions.IncludeUsage,
		prompt:       prompt,
		promptTokens: PromptTokens(prompt),
		maxTokens:    request.MaxTokens,
		priority:     priority,
		changed:      make(chan struct{}),
	}, nil
}

// cannotServe returns why the process takes no request, or nothing.
func (p *process) cannotServe(model string) string {
	switch {
	case p.state.Phase == engine.Unloaded || p.state.Phase == engine.Loading:
		return fmt.Sprintf("engine %q has no model", p.state.Name)
	case p.state.Rank != 0:
		return fmt.Sprintf("engine %q has rank %d in its group and takes no requests", p.state.Name, p.state.Rank)
	case model != "" && model != p.state.Model:
		return fmt.Sprintf("engine %q has model %q, not %q", p.state.Name, p.state.Model, model)
	default:
		return ""
	}
}

func (p *process) identify(rw http.ResponseWriter, j *job) {
	header := rw.Header()
	header.Set(engine.HeaderRequestID, j.id)
	header.Set(engine.HeaderBootID, p.state.BootID)
	header.Set(engine.HeaderGroup, p.state.Group)
	header.Set(engine.HeaderEpoch, strconv.FormatInt(p.state.Epoch, 10))
}
