// Package journal reads and writes the platform's append-only log.
package journal
