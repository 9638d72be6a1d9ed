package telemetry

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// DefaultBufferBytes bounds the lines that wait for a slow reader.
	DefaultBufferBytes = 1 << 20
	// ordinaryShare is the part of the buffer that lines of successes may fill;
	// the rest is kept for failures and for changes of what the process believes.
	ordinaryShare = 0.5
	// flushEvery is how long lines are gathered before they are written together.
	flushEvery = 50 * time.Millisecond
	// maxWrite is how much is written at once.
	maxWrite = 32 << 10
)

// Class says which lines are left out first.
type Class int

// The classes.
const (
	Ordinary  Class = iota // about a request that succeeded
	Important              // about a failure or a change of what is believed
)

// Fields are the inputs and outcome of a decision.
type Fields = logrus.Fields

// Log writes one JSON line for each event. Use New.
type Log struct {
	Level logrus.Level

	out       io.Writer
	formatter logrus.JSONFormatter
	common    Fields

	mu      sync.Mutex
	pending bytes.Buffer
	limit   int
	wake    chan struct{}
	dropped atomic.Int64 // since the last line that told of it
	total   atomic.Int64
}

// New returns a log that writes to out while Run runs. Fields in common are
// part of each line.
func New(out io.Writer, level logrus.Level, common Fields) *Log {
	return &Log{
		Level:     level,
		out:       out,
		common:    common,
		limit:     DefaultBufferBytes,
		wake:      make(chan struct{}, 1),
		formatter: logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
	}
}

// Info logs an event that changes what the process believes.
func (l *Log) Info(event string, fields Fields) {
	l.write(time.Now(), logrus.InfoLevel, Important, event, fields)
}

// Warn logs an event that an operator should know of.
func (l *Log) Warn(event string, fields Fields) {
	l.write(time.Now(), logrus.WarnLevel, Important, event, fields)
}

// Debug logs what is only of use while looking for a fault.
func (l *Log) Debug(event string, fields Fields) {
	l.write(time.Now(), logrus.DebugLevel, Ordinary, event, fields)
}

// Dropped returns how many lines were left out.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.total.Load()
}

func (l *Log) write(at time.Time, level logrus.Level, class Class, event string, fields Fields) {
	if l == nil || level > l.Level {
		return
	}
	data := make(Fields, len(fields)+len(l.common))
	for k, v := range l.common {
		data[k] = v
	}
	for k, v := range fields {
		data[k] = v
	}
	line, err := l.formatter.Format(&logrus.Entry{Time: at, Level: level, Message: event, Data: data})
	if err != nil {
		l.drop()
		return
	}
	limit := l.limit
	if class == Ordinary {
		limit = int(ordinaryShare * float64(limit))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending.Len()+len(line) > limit {
		l.drop()
		return
	}
	l.pending.Write(line)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Log) drop() {
	l.dropped.Add(1)
	l.total.Add(1)
}

// Run writes the lines until the context ends, and then what is left.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return l.flush()
		case <-l.wake:
		}
		select {
		case <-ctx.Done():
			return l.flush()
		case <-time.After(flushEvery):
		}
		if err := l.flush(); err != nil {
			return err
		}
	}
}

func (l *Log) flush() error {
	if n := l.dropped.Swap(0); n > 0 {
		l.Warn("log lines left out", Fields{"lines": n})
	}
	buf := make([]byte, maxWrite)
	for {
		l.mu.Lock()
		n, _ := l.pending.Read(buf) // a bytes.Buffer only fails when it is empty
		l.mu.Unlock()
		if n == 0 {
			return nil
		}
		if _, err := l.out.Write(buf[:n]); err != nil {
			return err
		}
	}
}

// RequestTrace gathers the lines of one request until its outcome is known, so that
// those of failed requests can be kept before those of the others. It is used
// by one goroutine at a time. The zero value drops its lines.
type RequestTrace struct {
	Log     *Log
	Request string

	lines []storyLine
}

type storyLine struct {
	at     time.Time
	event  string
	fields Fields
}

// maxStoryLines bounds what one request logs.
const maxStoryLines = 64

// Add notes a decision on the request.
func (s *RequestTrace) Add(event string, fields Fields) {
	if s.Log == nil || len(s.lines) >= maxStoryLines {
		return
	}
	s.lines = append(s.lines, storyLine{time.Now(), event, fields})
}

// End writes the request's lines.
func (s *RequestTrace) End(failed bool) {
	if s.Log == nil {
		return
	}
	class, level := Ordinary, logrus.InfoLevel
	if failed {
		class = Important
	}
	for _, line := range s.lines {
		if line.fields == nil {
			line.fields = Fields{}
		}
		line.fields["request"] = s.Request
		s.Log.write(line.at, level, class, line.event, line.fields)
	}
	s.lines = nil
}
