// Package telemetry writes structured log lines without delaying requests, and holds
// the counters and histograms that a process serves.
//
// Lines go through a bounded buffer. When the output is slow, lines of successful
// requests are dropped first. Dropped lines are counted, and their number is logged.
package telemetry
