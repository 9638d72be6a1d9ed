// Package telemetry writes structured log lines without ever making a request
// wait, and holds the counters and histograms that a process serves.
//
// Lines go through a bounded buffer. When its reader is slow, lines of requests
// that succeeded are left out first; what was left out is counted and told.
package telemetry
