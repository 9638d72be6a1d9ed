package route

import (
	"fmt"
	"time"
)

// Reason says why a group was chosen or a request refused.
type Reason int

//go:generate go tool stringer -type=Reason -trimprefix=Reason

// Reasons of decisions and refusals.
const (
	ReasonPrefix     Reason = iota // holds a cached prefix of the prompt
	ReasonHome                     // prefers this prompt's first block by rendezvous
	ReasonLeastWork                // the lesser of two by estimated work
	ReasonOnly                     // the only eligible group
	ReasonSpill                    // the own data centre has no room
	ReasonClosed                   // every allowed group is drained, incomplete or leaving
	ReasonNotAllowed               // the preset in force has no route
	ReasonFull                     // no allowed group has room
	ReasonTooLarge                 // no allowed group could ever hold the request
)

// Request is what the choice needs to know of a request.
type Request struct {
	Account      string
	Model        string
	Priority     int
	Blocks       []uint64 // prefix block hashes, see Blocks
	PromptTokens int
	OutputTokens int    // estimate
	Random       uint64 // a random number for this attempt
	AvoidBackend string // backend server of the attempt before, avoided when another is eligible
	Forwarded    bool   // came from another data centre: it is not spilled again
}

// Tokens returns the KV cache tokens that the request needs.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Decision names where the request runs.
type Decision struct {
	Group        string
	Epoch        int64
	Backend      string
	DataCentre   string
	Reason       Reason
	CachedTokens int           // prompt tokens that are likely in the prefix cache
	Work         time.Duration // estimated work before the first token
}

// Refusal says that no group takes the request. It is an error, and the request
// was not run.
type Refusal struct {
	Reason     Reason
	Account    string
	Model      string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no group takes model %q for client account %q: %v", r.Model, r.Account, r.Reason)
}
