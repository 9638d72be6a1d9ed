// Package gateway forwards HTTP requests from clients to backend servers and
// returns the answers. It finds the route and client account of a request, waits
// for a place where it can run, retries failed attempts, resumes broken streams
// and shuts down gracefully. The header conventions of clients and backend servers
// are left to a Dialect.
package gateway
