package engine

import "fmt"

//go:generate go tool stringer -type=Phase,OrderKind -output=wire_string.go

// Headers between entry instances and model engines.
const (
	HeaderRequestID  = "X-Request-Id" // in both directions
	HeaderPriority   = "X-Priority"   // to the engine; 0 is interactive, a larger number waits longer
	HeaderBootID     = "X-Boot-Id"    // from the engine, like the following ones
	HeaderGroup      = "X-Group"
	HeaderEpoch      = "X-Epoch"
	HeaderNotStarted = "X-Not-Started" // "true" if the refused request did not start
)

// HeaderIdempotencyKey carries the key of a call that must not run twice.
const HeaderIdempotencyKey = "Idempotency-Key"

// Paths of a model engine.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionPath  = "/v1/completions"
	StreamPath      = "/v1/streams/" // followed by the request ID
	StatePath       = "/engine/state"
	OrderPath       = "/engine/order"
	CacheEventsPath = "/engine/cache-events"
	ExportPath      = "/engine/kv/export"
	ImportPath      = "/engine/kv/import"
)

// Phase is the state of an engine's model.
type Phase int

// Phases of an engine.
const (
	Unloaded Phase = iota
	Loading
	Cold // loaded, but can take only a small load
	Warm
)

// OrderKind is the kind of an Order.
type OrderKind int

// Kinds of orders.
const (
	Load OrderKind = iota
	Unload
	SetRole
)

// State is an engine's report about itself. BootID is always current; the other fields
// may be out of date.
type State struct {
	Name         string
	BootID       string
	Group        string
	Epoch        int64
	Model        string
	ModelVersion string
	Role         string
	Rank         int
	Phase        Phase
	Leaving      bool
	Fence        int64 // highest fencing number of an order that was executed
	OrderID      string
	InFlight     int
	KVTokens     int
	Completed    int64
}

// Order tells an engine which model or role to take. Load orders name the whole group.
type Order struct {
	Fence        int64
	Kind         OrderKind
	OrderID      string
	Group        string
	Epoch        int64
	Model        string
	ModelVersion string
	Role         string
	Rank         int      // the head, which takes the group's requests, has 0
	Peers        []string // addresses of the group's other members
}

// OrderAnswer is an engine's answer to an order that it executed.
type OrderAnswer struct {
	BootID string
	Fence  int64
}

// CacheEvent says that a prefix block entered or left an engine's cache.
type CacheEvent struct {
	Number  int64
	Hash    uint64 // of the block and all blocks before it in the prompt
	Tokens  int    // from the start of the prompt to the end of the block
	Removed bool
}

// CacheEvents is the answer to one read of an engine's cache events. Numbers may be
// missing.
type CacheEvents struct {
	BootID string
	Events []CacheEvent
	Next   int64 // value of after for the next read
}

// KVCache carries exported cache blocks from one engine to another.
type KVCache struct {
	Model        string
	ModelVersion string
	Prefixes     []CacheEvent
}

// MarshalText returns the name of the phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the name of a phase.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, phase := range []Phase{Unloaded, Loading, Cold, Warm} {
		if phase.String() == string(text) {
			*p = phase
			return nil
		}
	}
	return fmt.Errorf("unknown engine phase %q", text)
}

// MarshalText returns the name of the kind.
func (k OrderKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of an order kind.
func (k *OrderKind) UnmarshalText(text []byte) error {
	for _, kind := range []OrderKind{Load, Unload, SetRole} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("unknown order kind %q", text)
}
