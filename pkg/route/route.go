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
	ReasonPrefix     Reason = iota // the group caches a prefix of the prompt
	ReasonHome                     // rendezvous hashing maps the prompt's first block to the group
	ReasonLeastWork                // less estimated work than another group drawn at random
	ReasonOnly                     // the only eligible group
	ReasonSpill                    // the own data centre has no eligible group, or much more work
	ReasonClosed                   // every allowed group is drained, incomplete or leaving
	ReasonNotAllowed               // the preset in force has no route for the account and model
	ReasonFull                     // no allowed group has capacity now
	ReasonTooLarge                 // the request exceeds the capacity of every allowed group
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Account      string
	Model        string
	Priority     int
	Blocks       []uint64 // hashes of the prompt's blocks, see the function Blocks
	PromptTokens int
	OutputTokens int    // estimate
	Random       uint64 // random number of this attempt
	AvoidBackend string // backend server of the previous attempt; chosen only if no other one is eligible
	Forwarded    bool   // received from another data centre, so not spilled again
}

// Tokens returns the KV cache tokens that the request needs.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Decision says where the request runs.
type Decision struct {
	Group        string
	Epoch        int64
	Backend      string
	DataCentre   string
	Reason       Reason
	CachedTokens int           // estimated prompt tokens in the prefix cache
	Work         time.Duration // estimated time to the first token
}

// Refusal is the error for a request that no group accepts. The request was not run.
type Refusal struct {
	Reason     Reason
	Account    string
	Model      string
	RetryAfter time.Duration
}

// Error returns the model, the client account and the reason of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no group takes model %q for client account %q: %v", r.Model, r.Account, r.Reason)
}
