// Package roster represents the known state of the backend servers as immutable
// values, which come from the platform's list and from the servers' own reports.
//
//	r := roster.New(servers)
//	for _, s := range r.All() { ... }
package roster

//go:generate go tool stringer -type=State
