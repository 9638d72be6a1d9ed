// Package peer carries calls between entry instances over drpc.
//
// A server answers through a Handler, a value of function fields:
//
//	server := peer.Server{Handler: peer.Handler{Exchange: exchange}}
//	err := server.Serve(ctx, listener)
//
// A Client calls other entry instances by IP address and port. It replaces the
// connections to an address on which a call timed out.
package peer
