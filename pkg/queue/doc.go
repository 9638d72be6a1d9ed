// Package queue implements a bounded queue for requests that wait for a place at a
// backend server. The queue is fair between client accounts.
//
// [Queue] reads no clock and does no locking. It orders the accounts' requests by
// start-time fair queueing, with the estimated tokens as cost. It serves at least one
// request of priority 1 in every [Config.BatchEvery], however many of priority 0 wait.
// If it is full, a new request can displace the newest request of the account that
// uses the largest share of the queue. A request that would wait past its deadline is
// refused at once. [Gate] wraps a Queue for callers that block.
package queue
