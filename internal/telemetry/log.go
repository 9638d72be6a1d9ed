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
	// DefaultBufferBytes is the maximum size of the lines that wait to be written.
	DefaultBufferBytes = 1 << 20
	// lowPriorityShare is the share of the buffer that lines of successful requests
	// may fill. The rest is reserved for failures and for changes of the process's
	// state.
	lowPriorityShare = 0.5
	// flushInterval is the time for which lines are collected before they are written.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes is the maximum size of one write.
	maxWriteBytes = 32 << 10
)

// Priority determines which lines are dropped first when the buffer fills.
type Priority int

// The priorities.
const (
	LowPriority  Priority = iota // about a successful request, or for debugging
	HighPriority                 // about a failure or a change of the process's state
)

// Fields are the fields of a log line, for example the inputs of a decision.
type Fields = logrus.Fields

// Log writes one JSON line for each event. Use New.
type Log struct {
	Level logrus.Level

	out       io.Writer
	formatter logrus.JSONFormatter
	common    Fields

	mu              sync.Mutex
	pending         bytes.Buffer
	limit           int
	wake            chan struct{}
	unreportedDrops atomic.Int64 // since the last line that reported dropped lines
	totalDrops      atomic.Int64
}

// New returns a log that writes to out while Run runs. The common fields are added
// to each line.
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

// Info logs an event that changes the process's state.
func (l *Log) Info(event string, fields Fields) {
	l.write(time.Now(), logrus.InfoLevel, HighPriority, event, fields)
}

// Warn logs an event that an operator should know about.
func (l *Log) Warn(event string, fields Fields) {
	l.write(time.Now(), logrus.WarnLevel, HighPriority, event, fields)
}

// Debug logs an event that is only useful for debugging.
func (l *Log) Debug(event string, fields Fields) {
	l.write(time.Now(), logrus.DebugLevel, LowPriority, event, fields)
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.totalDrops.Load()
}

func (l *Log) write(at time.Time, level logrus.Level, priority Priority, event string, fields Fields) {
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
	if priority == LowPriority {
		limit = int(lowPriorityShare * float64(limit))
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
	l.unreportedDrops.Add(1)
	l.totalDrops.Add(1)
}

// Run writes the buffered lines until ctx is done, and then the remaining ones.
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
		case <-time.After(flushInterval):
		}
		if err := l.flush(); err != nil {
			return err
		}
	}
}

func (l *Log) flush() error {
	if n := l.unreportedDrops.Swap(0); n > 0 {
		l.Warn("log lines left out", Fields{"lines": n})
	}
	buf := make([]byte, maxWriteBytes)
	for {
		l.mu.Lock()
		n, _ := l.pending.Read(buf) // Read fails only if the buffer is empty
		l.mu.Unlock()
		if n == 0 {
			return nil
		}
		if _, err := l.out.Write(buf[:n]); err != nil {
			return err
		}
	}
}

// RequestTrace collects the log lines of one request until its outcome is known, since
// lines of failed requests have priority over the others. It is not safe for
// concurrent use. The zero value discards its lines.
type RequestTrace struct {
	Log     *Log
	Request string

	lines []traceLine
}

type traceLine struct {
	at     time.Time
	event  string
	fields Fields
}

// maxTraceLines is the maximum number of lines that one request logs.
const maxTraceLines = 64

// Add adds an event of the request. Beyond maxTraceLines it is discarded.
func (t *RequestTrace) Add(event string, fields Fields) {
	if t.Log == nil || len(t.lines) >= maxTraceLines {
		return
	}
	t.lines = append(t.lines, traceLine{time.Now(), event, fields})
}

// End logs the request's lines, with high priority if the request failed.
func (t *RequestTrace) End(failed bool) {
	if t.Log == nil {
		return
	}
	priority, level := LowPriority, logrus.InfoLevel
	if failed {
		priority = HighPriority
	}
	for _, line := range t.lines {
		if line.fields == nil {
			line.fields = Fields{}
		}
		line.fields["request"] = t.Request
		t.Log.write(line.at, level, priority, line.event, line.fields)
	}
	t.lines = nil
}
