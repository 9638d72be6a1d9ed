// Package exchange sends requests to backend servers over HTTP/1.1. It reports
// for each request whether it was sent, and checks that the answer belongs to it.
//
// It manages its own connections and uses net/http only to read answers. The
// Transport of net/http is not suitable for servers that must not run a request
// twice and may answer late, because it retries some requests by itself and
// accepts any answer that arrives next on a connection.
//
//	pool := &exchange.Pool{}
//	answer, err := pool.Do(ctx, exchange.Server{ID: "i-1", Address: "10.0.0.1:80"}, request)
//	if exchange.NotSent(err) { ... } // it is safe to send it to another server
package exchange
