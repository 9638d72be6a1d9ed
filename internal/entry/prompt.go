package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/chicorystall/chicorystall/pkg/route"
)

const (
	// bytesPerToken is the estimated number of prompt bytes for each token.
	bytesPerToken = 4
	// defaultOutputTokens is the estimated output of a request that sets no limit.
	defaultOutputTokens = 256
	// prefixBlockBytes is the size of the blocks in which prompts are compared for
	// common prefixes.
	prefixBlockBytes = 64
	// maxPrefixBlocks limits the number of compared blocks of a prompt.
	maxPrefixBlocks = 256
)

// modelRequest holds what routing and queueing need to know about a request to a
// model.
type modelRequest struct {
	Model        string
	Stream       bool
	PromptTokens int
	OutputTokens int
	Blocks       []uint64
}

// modelBody holds the fields of the callers' JSON that are evaluated.
type modelBody struct {
	Model               *string         `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// parseModelRequest parses the JSON body of a request and checks it against the
// limits.
func parseModelRequest(path string, body []byte, limits Limits) (*modelRequest, *refusal) {
	var fields modelBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("the request body is not a JSON object of this API: %v", err)
	}
	if fields.Model == nil || *fields.Model == "" {
		return nil, badRequest("field %q is missing", "model")
	}
	prompt, field := fields.Messages, "messages"
	if !strings.HasPrefix(path, "/v1/chat/") {
		prompt, field = fields.Prompt, "prompt"
	}
	if len(prompt) == 0 || string(prompt) == "null" {
		return nil, badRequest("field %q is missing", field)
	}
	out := &modelRequest{
		Model:        *fields.Model,
		Stream:       fields.Stream,
		PromptTokens: len(prompt)/bytesPerToken + 1,
		OutputTokens: min(defaultOutputTokens, limits.MaxOutputTokens),
	}
	if refused := out.readOutputTokens(fields, limits); refused != nil {
		return nil, refused
	}
	if out.PromptTokens > limits.MaxPromptTokens {
		return nil, badRequest("field %q holds about %d tokens, above the limit of %d", field, out.PromptTokens, limits.MaxPromptTokens)
	}
	compared := prompt[:min(len(prompt), maxPrefixBlocks*prefixBlockBytes)]
	out.Blocks = route.Blocks(nil, compared, prefixBlockBytes)
	return out, nil
}

func (m *modelRequest) readOutputTokens(fields modelBody, limits Limits) *refusal {
	wanted, field := fields.MaxTokens, "max_tokens"
	if wanted == nil {
		wanted, field = fields.MaxCompletionTokens, "max_completion_tokens"
	}
	if wanted == nil {
		return nil
	}
	if *wanted <= 0 || *wanted > limits.MaxOutputTokens {
		return badRequest("field %q is %d, want 1 to %d", field, *wanted, limits.MaxOutputTokens)
	}
	m.OutputTokens = *wanted
	return nil
}

func badRequest(detail string, args ...any) *refusal {
	return notRunRefusal(http.StatusBadRequest, "bad-request", detail, args...)
}
