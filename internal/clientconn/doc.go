// Package clientconn closes the connections of an http.Server without dropping requests.
//
// http.Server.Shutdown and SetKeepAlivesEnabled close connections on which a request is
// arriving, and after Shutdown net/http drops requests that it has read. A Set closes
// each connection once it is idle, which means that no byte of a request was read:
//
//	server := &http.Server{Handler: h, ConnState: set.OnState, ConnContext: clientconn.Context}
//	conn := &clientconn.Conn{Conn: accepted}
//	set.Add(conn)
//	...
//	<-set.CloseWhenIdle()
//
// Handlers must call Begin first, since the time for a head is bounded until then, and
// write "Connection: close" into answers during a stop. HTTP/2 isn't supported. Below TLS,
// a connection without a request counts as idle only after its first answer, or when the
// time for a head is over.
package clientconn
