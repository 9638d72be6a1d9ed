// Package broken is a backend server that sends the same bytes for each request, whether
// they are a valid answer or not, and ends the connection in a given way. Tests use it to
// check that readers don't take a broken answer for a whole one.
//
//	server, err := broken.Start(ctx, broken.Answer{Text: "HTTP/1.1 200 OK\r\n\r\nhalf", End: broken.Reset})
package broken
