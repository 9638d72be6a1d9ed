package gateway

import (
	"net/http"
	"time"
)

// Call holds what the headers of a client's request say.
type Call struct {
	ID       string
	Key      string        // API key of the client account; empty if none was sent
	Deadline time.Duration // time that the client waits; 0 if not stated
	Model    string
	// SharedParts identifies the parts of the prompt that other prompts may have too, in
	// their order.
	SharedParts          []string
	PromptTokens         int   // tokens in the prompt
	MaxAnswerTokens      int   // most tokens in the answer; 0 if not stated
	ExpectedAnswerTokens int   // tokens in the answer that the client expects; 0 if not stated
	LastEvent            int64 // ID of the last event that the client received of a stream; 0 for a new stream
}

// Attempt holds what the headers of a request to a backend server state.
type Attempt struct {
	ServerID  string        // ID of the only backend server that may run the request
	Remaining time.Duration // until the deadline
	Account   string        // name of the client account; empty if there is none
	LastEvent int64         // ID of the last event that the client received
	Resumed   bool          // the attempt resumes a stream that another attempt began
	HasPrompt bool          // the request carries a prompt for a model
}

// AnswerMeta holds what the headers of a backend server's answer say.
type AnswerMeta struct {
	RequestID string // ID of the request that is answered; empty if not stated
	NotRun    bool   // the server did not run the request and never will, so that a retry is safe
	Signed    bool   // the answer carries the server's signature header
	Encoded   bool   // the body has a content encoding, so it is not what the server produced
	Leaving   bool   // the server leaves and wants no further requests
	// Rest is how long the server wants no further requests from this instance; 0 if it
	// doesn't say so.
	Rest time.Duration
	// Limit says how many requests per second the server takes from all instances together.
	Limit RateLimit
}

// RateLimit is what an answer says about the limit of its server. The zero value is
// that of an answer that can't say anything about it.
type RateLimit struct {
	Word      LimitWord
	PerSecond float64 // requests, if Word is Named
}

//go:generate go tool stringer -type=LimitWord

// LimitWord is how an answer speaks about the limit of its server.
type LimitWord int

// The ways.
const (
	Unknown   LimitWord = iota // it is not known to be the server's, or can't be read
	Named                      // the server names a limit
	Unlimited                  // the server names none
)

// Dialect translates between the gateway and the header conventions of clients and
// backend servers.
type Dialect struct {
	// ParseCall reads the headers of a client's request. An error means that the request
	// is malformed.
	ParseCall func(r *http.Request) (Call, error)
	// Prepare sets the headers of an attempt. It may modify h, which no other
	// attempt uses.
	Prepare func(h http.Header, a Attempt)
	// ParseAnswer reads the status and headers of a backend server's answer.
	ParseAnswer func(status int, h http.Header) AnswerMeta
	// Refusal sets the headers of an answer that this instance generates itself.
	// The ID is that of the request and may be empty.
	Refusal func(h http.Header, id string)
}
