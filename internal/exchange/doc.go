// Package exchange sends requests to backend servers over HTTP/1.1 and tells
// for each what became of it.
//
// net/http's Transport repeats requests on its own and takes any answer that
// arrives next on a connection. Both are wrong in front of servers that may run
// a request only once and may answer late, so this package keeps its own
// connections and uses net/http for reading answers only.
//
//	pool := &exchange.Pool{}
//	answer, err := pool.Do(ctx, exchange.Server{ID: "i-1", Address: "10.0.0.1:80"}, request)
//	if exchange.NotSent(err) { ... } // another backend server may get it
package exchange
