package worker

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// job is a request in a process. The worker's lock guards its fields.
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

	produced int      // number of tokens produced
	chunks   [][]byte // of the stream; the last one is endMark
	failed   bool
	changed  chan struct{} // closed and replaced when a chunk is added or the job ends
	readers  int
}

var endMark = []byte("[DONE]")

func (j *job) heldTokens() int { return j.promptTokens + j.produced }

func (j *job) done() bool { return j.produced == j.maxTokens }

// produceToken produces the next token and reports whether it was the last one.
func (j *job) produceToken() bool {
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
	j.notifyReaders()
	return j.done()
}

// fail marks an incomplete job as failed.
func (j *job) fail() {
	if !j.done() {
		j.failed = true
		j.notifyReaders()
	}
}

// emit appends a chunk to the stream.
func (j *job) emit(chunk completion) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // can't happen, since the type can always be marshaled
	}
	j.chunks = append(j.chunks, data)
}

func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// completion is an answer, or one chunk of it, in the OpenAI format.
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
	item := choice{FinishReason: finish}
	if j.chat {
		item.Delta = &message{Content: text}
		if j.produced == 1 {
			item.Delta.Role = "assistant"
		}
	} else {
		item.Text = &text
	}
	c.Choices = append(c.Choices, item)
	return c
}

func (j *job) usageChunk() completion {
	c := j.completion("text_completion", "chat.completion.chunk")
	c.Usage = j.usage()
	return c
}

// fullAnswer returns the answer to a request that is not streamed.
func (j *job) fullAnswer() completion {
	text := strings.Join(Answer(j.prompt, j.maxTokens), "")
	finish := "length"
	item := choice{FinishReason: &finish}
	if j.chat {
		item.Message = &message{Role: "assistant", Content: text}
	} else {
		item.Text = &text
	}
	c := j.completion("text_completion", "chat.completion")
	c.Choices = append(c.Choices, item)
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
