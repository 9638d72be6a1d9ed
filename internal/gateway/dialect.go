package gateway

import (
	"net/http"
	"time"
)

// Call is a client's request as its interface states it.
type Call struct {
	ID                   string
	Key                  string        // of a client account; empty when none was sent
	Deadline             time.Duration // how long the client waits; 0 when not stated
	Model                string
	PromptTokens         int   // tokens
	MaxAnswerTokens      int   // tokens at most; 0 when not stated
	ExpectedAnswerTokens int   // tokens that the client expects; 0 when not stated
	LastEvent            int64 // the last event that the client has of a stream; 0 when it begins
}

// Attempt is one sending of a request to a backend server.
type Attempt struct {
	ServerID  string // ID of the backend server that may run it
	Remaining time.Duration
	Account   string // empty without one
	LastEvent int64  // the last event that the client has
	Resumed   bool   // the stream goes on from another backend server
	HasPrompt bool   // the request carries a prompt for a model
}

// AnswerMeta is what a backend server's answer says besides its status.
type AnswerMeta struct {
	RequestID string // ID of the request that it answers; empty when not stated
	NotRun    bool   // the server did not run the request and never will
	Signed    bool   // the answer carries the server's signature
	Encoded   bool   // the body is not as the server made it
}

// Dialect translates between the product and the interfaces on both sides.
type Dialect struct {
	// ParseCall reads a client's request. An error is the client's.
	ParseCall func(r *http.Request) (Call, error)
	// Prepare sets the headers of an attempt. The header is the attempt's own.
	Prepare func(h http.Header, a Attempt)
	// ParseAnswer reads the head of a backend server's answer.
	ParseAnswer func(status int, h http.Header) AnswerMeta
	// Refusal adds to the header of an answer of this instance's own.
	Refusal func(h http.Header, id string)
}
