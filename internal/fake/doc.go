// Package fake holds what the stand-ins (test doubles) of the systems around
// chicorystall share: an HTTP server that can be stopped and restarted, JSON
// helpers and registration with the platform. The stand-ins are its subpackages.
//
//	server, err := fake.Listen(ctx, "127.0.0.1:0", handler)
//	...
//	server.Down()    // new connections are refused
//	err = server.Up() // listens at the same address again
package fake
