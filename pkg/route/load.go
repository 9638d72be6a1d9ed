package route

import "time"

const (
	assumedPrefillRate = 8000 // tokens a second of a backend server that reports none
	stepTime           = 10 * time.Millisecond
)

// requests estimates what the backend server holds: its report, corrected by
// what was sent and ended since.
func (g *Group) requests() int {
	return max(g.Report.Requests+g.Sent.Requests-g.Sent.Ended, 0)
}

// load returns the part of what the backend server bears that is in use.
func (g *Group) load() float64 {
	return float64(g.requests()) / float64(max(g.Capacity.Requests, 1))
}

// pendingWork estimates the prefill that precedes a new request, and the wait
// for a place when the backend server is over its limit. Prefill that a report
// lists goes on since then, so it shrinks with the report's age.
func (g *Group) pendingWork() time.Duration {
	reported := tokensTime(g.Report.PendingTokens, g.prefillRate()) - g.Report.Age
	own := tokensTime(g.Sent.PendingTokens, g.prefillRate())
	return max(reported, 0) + own + time.Duration(g.requests())*stepTime
}

func (g *Group) prefillRate() int {
	if g.Report.TokensPerSec > 0 {
		return g.Report.TokensPerSec
	}
	return assumedPrefillRate
}

func tokensTime(tokens, rate int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(rate)
}
