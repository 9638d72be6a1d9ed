package route

import "time"

const (
	defaultPrefillTokensPerSec = 8000 // for backend servers that report no prefill speed
	stepTimePerRequest         = 10 * time.Millisecond
)

// estimatedRequests estimates the number of requests that the backend server runs or
// queues: the number in its report, plus those sent and minus those ended since.
func (g *Group) estimatedRequests() int {
	return max(g.Report.Requests+g.Sent.Requests-g.Sent.Ended, 0)
}

// estimatedLoad returns the fraction of the backend server's capacity that is in use.
func (g *Group) estimatedLoad() float64 {
	return float64(g.estimatedRequests()) / float64(max(g.Capacity.Requests, 1))
}

// pendingWork estimates how long a new request waits before its own prefill: the
// prefill of the requests before it, plus stepTimePerRequest for each request that the
// backend server runs or queues. The backend server works on the reported prefill after
// the report too, so the report's age is subtracted from it.
func (g *Group) pendingWork() time.Duration {
	reported := prefillTime(g.Report.PendingTokens, g.prefillTokensPerSec()) - g.Report.Age
	sent := prefillTime(g.Sent.PendingTokens, g.prefillTokensPerSec())
	return max(reported, 0) + sent + time.Duration(g.estimatedRequests())*stepTimePerRequest
}

func (g *Group) prefillTokensPerSec() int {
	if g.Report.TokensPerSec > 0 {
		return g.Report.TokensPerSec
	}
	return defaultPrefillTokensPerSec
}

func prefillTime(tokens, rate int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(rate)
}
