// Package queue holds requests that wait for a place at a backend server, in a
// bounded queue that is fair between client accounts.
//
// [Queue] is a pure decision type: the time is an argument. It serves accounts
// by start-time fair queueing over estimated tokens, serves priority 1 at a
// fixed rate however much of priority 0 waits, makes room by displacing the
// newest request of the account that holds most of it, and refuses at once what
// cannot make its deadline. [Gate] wraps it for blocking callers.
package queue
