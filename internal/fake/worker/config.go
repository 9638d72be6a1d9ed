package worker

import "time"

// Config configures the stand-in. The zero value of each field except Name is usable.
type Config struct {
	Name string

	// Initial state of a new process. Without a model it waits for an order to load one.
	Model        string
	ModelVersion string
	Group        string
	Epoch        int64
	Role         string
	Warm         bool // starts warm instead of cold; after a crash the process always starts cold

	TokenTime     time.Duration // duration of a step with one request in the batch; 0 means 2 ms
	BatchSlowdown float64       // share of TokenTime added for each further request in the batch; 0 means 0.05
	PrefillTime   time.Duration // duration for each prompt token that is not cached; 0 means 20 µs
	MaxBatch      int           // maximum requests in the batch; 0 means 32
	MaxKVTokens   int           // the process crashes when it holds more tokens than this; 0 is unlimited
	CacheTokens   int           // capacity of the prefix cache; 0 means 4096
	BlockTokens   int           // size of a cached block; 0 means 16

	ColdInFlight        int           // maximum requests in flight while cold; more crash the process; 0 means 1
	WarmAfter           int           // completions until a cold process becomes warm; 0 means 4
	LoadTime            time.Duration // duration of a load, in addition to reading the weights; 0 means 50 ms
	Weights             string        // IP:port of the platform's weight store; if empty, no weights are read
	RestartDelay        time.Duration // time from a crash to the new process; 0 means 200 ms
	ResumeWindow        time.Duration // how long an answer without a reader is kept; 0 means 5 s
	Heartbeat           time.Duration // maximum time without bytes on an answer; 0 means 1 s
	MemberCheckInterval time.Duration // between two checks of the group's other members; 0 means 100 ms

	ReportLag      time.Duration // lag of the reported state, except the name and the boot ID
	CacheEventLag  time.Duration
	CacheEventLoss int  // every CacheEventLoss-th cache event is dropped; 0 drops none
	ChecksFence    bool // refuses orders with an outdated fencing number
}

func (c Config) withDefaults() Config {
	setDefault(&c.TokenTime, 2*time.Millisecond)
	setDefault(&c.BatchSlowdown, 0.05)
	setDefault(&c.PrefillTime, 20*time.Microsecond)
	setDefault(&c.MaxBatch, 32)
	setDefault(&c.CacheTokens, 4096)
	setDefault(&c.BlockTokens, 16)
	setDefault(&c.ColdInFlight, 1)
	setDefault(&c.WarmAfter, 4)
	setDefault(&c.LoadTime, 50*time.Millisecond)
	setDefault(&c.RestartDelay, 200*time.Millisecond)
	setDefault(&c.ResumeWindow, 5*time.Second)
	setDefault(&c.Heartbeat, time.Second)
	setDefault(&c.MemberCheckInterval, 100*time.Millisecond)
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
