// Package retry decides whether and when a failed request is retried. Retry budgets
// keep retries from outgrowing the traffic that causes them.
//
// Exactly one layer retries. Each attempt states its number and the remaining time in
// headers, so that every layer knows both.
//
//	policy := &retry.Policy{Budgets: &retry.Budgets{}}
//	policy.Budgets.RecordFirst(now, server)
//	decision := policy.Next(now, attempt, retry.Failure{Server: server, Repeatable: true})
//	if decision.Reason != retry.Allowed {
//		return refuse(decision.RetryAfter)
//	}
//	time.Sleep(decision.Delay)
//
// Processes that share one allowance of retries give their budgets a Share, which
// depends on the number of processes known at the time:
//
//	budget := &retry.Budget{Ratio: 0.1, Burst: 10, MinPerSecond: 1, Share: share}
//
// The package does no I/O and takes the clock as an argument.
package retry
