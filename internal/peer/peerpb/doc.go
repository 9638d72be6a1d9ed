// Package peerpb holds the generated messages of the protocol between entry
// instances.
package peerpb

//go:generate ./generate.sh
