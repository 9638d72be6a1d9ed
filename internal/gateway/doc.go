// Package gateway carries requests from clients to backend servers and back. It
// holds a request's whole life: its route and client account, its place, its
// attempts, the resumption of streams and its final answer, as well as the
// graceful stop. It knows no interface: a Dialect reads what clients send and
// writes what backend servers expect.
package gateway
