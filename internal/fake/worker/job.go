package worker

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// job is one request inside a process. The worker's lock guards its fields.
type job struct {
	id           string
	model        string
	chat         bool
	withUsage    bool
	prompt       string
	promptTokens int
	cachedTokens int
	maxTokens    int
	priority     int

	produced int
	chunks   [][]byte // the end mark is the last one
	failed   bool
	changed  chan struct{} // closed and replaced when chunks grow or the job ends
	readers  int
}

var endMark = []byte("[DONE]")

func (j *job) heldTokens() int { return j.promptTokens + j.produced }

func (j *job) done() bool { return j.produced == j.maxTokens }

// step produces the next token and returns whether it was the last.
func (j *job) step() bool {
	text := token(xxhash.Sum64String(j.prompt), j.produced)
	j.produced++
	j.emit(j.chunk(text, nil))
	if j.done() {
		finish := "length"
		j.emit(j.chunk("", &finish))
		if j.withUsage {
			j.emit(j.usageChunk())
		}
		j.chunks = append(j.chunks, endMark)
	}
	j.wake()
	return j.done()
}

func (j *job) fail() {
	if !j.done() {
		j.failed = true
		j.wake()
	}
}

func (j *job) emit(chunk completion) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // the type always marshals
	}
	j.chunks = append(j.chunks, data)
}

func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// completion is an answer, or one chunk of it, in the OpenAI form.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (j *job) chunk(text string, finish *string) completion {
	c := j.completion("text_completion", "chat.completion.chunk")
	one := choice{FinishReason: finish}
	if j.chat {
		one.Delta = &message{Content: text}
		if j.produced == 1 {
			one.Delta.Role = "assistant"
		}
	} else {
		one.Text = &text
	}
	c.Choices = append(c.Choices, one)
	return c
}

func (j *job) usageChunk() completion {
	c := j.completion("text_completion", "chat.completion.chunk")
	c.Usage = j.usage()
	return c
}

// whole is the answer of a request that is not streamed.
func (j *job) whole() completion {
	text := strings.Join(Answer(j.prompt, j.maxTokens), "")
	finish := "length"
	one := choice{FinishReason: &finish}
	if j.chat {
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	c := j.completion("text_completion", "chat.completion")
	c.Choices = append(c.Choices, one)
	c.Usage = j.usage()
	return c
}

func (j *job) completion(plain, chat string) completion {
	c := completion{ID: j.id, Object: plain, Model: j.model, Choices: []choice{}}
	if j.chat {
		c.Object = chat
	}
	return c
}

func (j *job) usage() *usage {
	return &usage{
		PromptTokens:     j.promptTokens,
		CompletionTokens: j.produced,
		TotalTokens:      j.promptTokens + j.produced,
		PromptDetails:    promptDetails{CachedTokens: j.cachedTokens},
	}
}
