// Package roster holds what is known of the backend servers: one immutable value
// for each, gathered from the platform's list and from the servers' own reports.
//
//	r := roster.New(servers)
//	for _, head := range r.Heads("daka") { ... }
package roster

//go:generate go tool stringer -type=State
