// Package peer implements the calls between entry instances over drpc.
//
// A Server answers calls with the functions of a Handler:
//
//	server := peer.Server{Handler: peer.Handler{Exchange: exchange}}
//	err := server.Serve(ctx, listener)
//
// A Client calls other entry instances by IP address and port. After a call has timed
// out, it opens new connections to that address.
package peer
