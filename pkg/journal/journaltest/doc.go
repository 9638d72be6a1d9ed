// Package journaltest holds a log in memory with the faults of a real one, for
// tests of code that uses package journal.
//
//	var log journaltest.Log
//	follower := journal.Follower{Log: log.Client(), Stream: "config"}
//	log.SetAway(true)
package journaltest
