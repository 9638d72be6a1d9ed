// Package fake serves stand-ins of the systems around chicorystall on loopback
// addresses. The stand-ins themselves are its subpackages.
//
//	server, err := fake.Listen(ctx, "127.0.0.1:0", handler)
//	...
//	server.Down()    // connections are refused from here on
//	err = server.Up() // same address
package fake
