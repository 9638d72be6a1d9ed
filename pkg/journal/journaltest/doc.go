// Package journaltest provides an in-memory log with injectable faults, for
// tests of code that uses package journal.
//
//	var log journaltest.Log
//	follower := journal.Follower{Log: log.Client(), Stream: "config"}
//	log.SetUnavailable(true)
package journaltest
