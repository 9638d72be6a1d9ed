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
// Handlers call Begin, and write "Connection: close" into answers during a stop.
package clientconn
