package limit

import "time"

// Defaults of [Detector].
const (
	DefaultColdFactor  = 2
	DefaultColdStrikes = 8
)

// baselineGain is the weight of one observation in the usual latency.
const baselineGain = 0.02

// Detector judges from the time between tokens whether a backend server may have
// turned cold. Long prompts slow a warm one down as well, so the caller asks the
// backend server for its state before it calls [Ledger.MarkCold]. The zero value is ready to use. It is not safe for concurrent
// use.
type Detector struct {
	Factor  float64 // how many times slower than usual is cold; 0 is DefaultColdFactor
	Strikes int     // slow observations in a row that it takes; 0 is DefaultColdStrikes

	usual   float64 // seconds
	strikes int
}

// Observe takes one time between tokens and reports whether the backend server
// may have turned cold. It then starts to count anew.
func (d *Detector) Observe(between time.Duration) bool {
	seconds := between.Seconds()
	if d.usual == 0 {
		d.usual = seconds
	}
	factor, strikes := d.Factor, d.Strikes
	if factor == 0 {
		factor = DefaultColdFactor
	}
	if strikes == 0 {
		strikes = DefaultColdStrikes
	}
	if seconds <= factor*d.usual {
		d.usual += baselineGain * (seconds - d.usual)
		d.strikes = 0
		return false
	}
	d.strikes++
	if d.strikes < strikes {
		return false
	}
	d.strikes = 0
	return true
}
