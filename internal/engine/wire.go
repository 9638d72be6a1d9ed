package engine

import "fmt"

//go:generate go tool stringer -type=Phase,OrderKind -output=wire_string.go

// Headers between entry instances and model engines.
const (
	HeaderRequestID  = "X-Request-Id" // both ways
	HeaderPriority   = "X-Priority"   // to the engine; 0 is interactive, larger waits longer
	HeaderBootID     = "X-Boot-Id"    // from the engine, as are the following ones
	HeaderGroup      = "X-Group"
	HeaderEpoch      = "X-Epoch"
	HeaderNotStarted = "X-Not-Started" // "true" on a refusal of a request that did not start
)

// HeaderIdempotencyKey carries the key of a call that may not be repeated.
const HeaderIdempotencyKey = "Idempotency-Key"

// Paths of a model engine.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionPath  = "/v1/completions"
	StreamPath      = "/v1/streams/" // and the request ID
	StatePath       = "/engine/state"
	OrderPath       = "/engine/order"
	CacheEventsPath = "/engine/cache-events"
	ExportPath      = "/engine/kv/export"
	ImportPath      = "/engine/kv/import"
)

// Phase is how far an engine is with its model.
type Phase int

// Phases of an engine.
const (
	Unloaded Phase = iota
	Loading
	Cold // loaded, bears only a little load
	Warm
)

// OrderKind tells what an order asks for.
type OrderKind int

// Kinds of orders.
const (
	Load OrderKind = iota
	Unload
	SetRole
)

// State is an engine's report on itself. BootID is exact; the rest may lag.
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
	Fence        int64 // highest fencing number obeyed
	OrderID      string
	InFlight     int
	KVTokens     int
	Completed    int64
}

// Order tells an engine what to be. Load orders name the whole group.
type Order struct {
	Fence        int64
	Kind         OrderKind
	OrderID      string
	Group        string
	Epoch        int64
	Model        string
	ModelVersion string
	Role         string
	Rank         int      // 0 takes the group's requests
	Peers        []string // addresses of the group's other members
}

// OrderAnswer is an engine's answer to an order that it obeyed.
type OrderAnswer struct {
	BootID string
	Fence  int64
}

// CacheEvent tells of one prefix block that entered or left an engine's cache.
type CacheEvent struct {
	Number  int64
	Hash    uint64 // of the block and all that precede it in the prompt
	Tokens  int    // from the prompt's beginning to the block's end
	Removed bool
}

// CacheEvents is one read of an engine's cache events. Numbers may be missing.
type CacheEvents struct {
	BootID string
	Events []CacheEvent
	Next   int64 // number to ask after
}

// KVCache carries exported cache blocks from one engine to another.
type KVCache struct {
	Model        string
	ModelVersion string
	Prefixes     []CacheEvent
}

// MarshalText returns the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses a phase's name.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, phase := range []Phase{Unloaded, Loading, Cold, Warm} {
		if phase.String() == string(text) {
			*p = phase
			return nil
		}
	}
	return fmt.Errorf("engine phase %q is not known", text)
}

// MarshalText returns the kind's name.
func (k OrderKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses an order kind's name.
func (k *OrderKind) UnmarshalText(text []byte) error {
	for _, kind := range []OrderKind{Load, Unload, SetRole} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("order kind %q is not known", text)
}
