// Package catalog holds the configuration in force as immutable values: which
// route a request takes, which services and models stand behind it, and which
// client account a key belongs to.
//
// A Catalog is built once for each version and then only read, so that any
// number of requests may use it without a lock:
//
//	c := catalog.New(catalog.Content{Version: 7, Routes: routes, Services: services})
//	route, ok := c.Match("app.example", "/drafts/42")
package catalog

//go:generate go tool stringer -type=Kind
