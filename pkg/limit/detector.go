package limit

import "time"

// Defaults of [Detector].
const (
	DefaultSlowFactor      = 2
	DefaultConsecutiveSlow = 8
)

// smoothingFactor is the weight of one observation in the moving average of the
// latency.
const smoothingFactor = 0.02

// Detector judges from the time between tokens whether a backend server may have
// turned cold. Long prompts slow down a warm backend server too, so the caller asks
// the backend server for its state before it calls [Ledger.MarkCold]. The zero value
// is ready to use. It is not safe for concurrent use.
type Detector struct {
	SlowFactor      float64 // ratio to the average above which a time counts as slow; 0 means DefaultSlowFactor
	ConsecutiveSlow int     // slow times in a row that count as cold; 0 means DefaultConsecutiveSlow

	baseline  float64 // moving average of the time between tokens, in seconds
	slowCount int
}

// Observe records one time between tokens and reports whether the backend server may
// have turned cold. After it has reported true, it counts slow times from 0 again.
func (d *Detector) Observe(between time.Duration) bool {
	seconds := between.Seconds()
	if d.baseline == 0 {
		d.baseline = seconds
	}
	factor, consecutive := d.SlowFactor, d.ConsecutiveSlow
	if factor == 0 {
		factor = DefaultSlowFactor
	}
	if consecutive == 0 {
		consecutive = DefaultConsecutiveSlow
	}
	if seconds <= factor*d.baseline {
		d.baseline += smoothingFactor * (seconds - d.baseline)
		d.slowCount = 0
		return false
	}
	d.slowCount++
	if d.slowCount < consecutive {
		return false
	}
	d.slowCount = 0
	return true
}
