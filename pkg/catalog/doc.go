// Package catalog provides an immutable, indexed form of the configuration in force:
// it finds the route of a request, the services and models that serve the route, and
// the client account that a key belongs to.
//
// A Catalog is built once for each version of the configuration and only read
// afterwards, so concurrent requests use it without a lock:
//
//	c := catalog.New(catalog.Content{Version: 7, Routes: routes, Services: services})
//	route, ok := c.Match("app.example", "/drafts/42")
package catalog

//go:generate go tool stringer -type=Kind
