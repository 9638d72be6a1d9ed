// Package route chooses the group, and with it the backend server, that runs a
// request. [View.Choose] is a pure function of a request and an immutable [View].
//
// A group is eligible if the preset in force allows it for the client account, every
// member reports the same group and epoch, neither it nor its data centre is drained
// or leaving, and it has capacity for the request. Among the eligible groups of the
// caller's own data centre, Choose prefers the one that caches the longest prefix of
// the prompt, unless its load is above a bound. Otherwise it takes the one with less
// estimated work of two that are drawn at random.
//
// A request is spilled to another data centre if no group of its own one is eligible,
// or if the estimated work there is much less. Spilled requests may only use a share
// of the free capacity that the other data centre last reported.
package route
