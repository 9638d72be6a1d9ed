package worker

import "time"

// Config sizes the stand-in. The zero value of each field but Name works.
type Config struct {
	Name string

	// What a new process begins with. Without a model it waits for an order.
	Model        string
	ModelVersion string
	Group        string
	Epoch        int64
	Role         string
	Warm         bool // begins warm instead of cold; a crash always leads to cold

	TokenTime     time.Duration // of one step with a batch of one; 0 counts as 2 ms
	BatchSlowdown float64       // added to the step, as a share, for each further request; 0 counts as 0.05
	PrefillTime   time.Duration // for each prompt token that is not cached; 0 counts as 20 µs
	MaxBatch      int           // requests that run together; 0 counts as 32
	MaxKVTokens   int           // held tokens above which the process runs out of memory; 0 is unlimited
	CacheTokens   int           // of cached prefixes; 0 counts as 4096
	BlockTokens   int           // of one cached block; 0 counts as 16

	ColdInFlight        int           // requests borne while cold; 0 counts as 1
	WarmAfter           int           // completions until warm; 0 counts as 4
	LoadTime            time.Duration // of an order to load, besides reading weights; 0 counts as 50 ms
	Weights             string        // IP:port of the platform's weight store; empty reads none
	RestartDelay        time.Duration // from a crash to the new process; 0 counts as 200 ms
	ResumeWindow        time.Duration // an answer without a reader is kept so long; 0 counts as 5 s
	Heartbeat           time.Duration // longest silence of an answer; 0 counts as 1 s
	MemberCheckInterval time.Duration // between looks at the group's other members; 0 counts as 100 ms

	ReportLag      time.Duration // of all of the state but the boot ID
	CacheEventLag  time.Duration
	CacheEventLoss int  // each so many-th cache event is missing; 0 loses none
	ChecksFence    bool // refuses an order with an old fencing number
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
