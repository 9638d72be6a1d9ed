package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

const (
	// Limits where the configuration has none, or none is known yet. The first two
	// are net/http's usual figures.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// Limits above which the configuration is not followed.
	maxHeaderBytes   = 1 << 20 // net/http's default
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = time.Hour

	// defaultMemory stands in where the settings state no memory.
	defaultMemory = 256 << 20
	// bodyShare is the part of the memory that bodies in hand may take. The heap
	// may fill 0.6 of it, and all else took 23 MB of 284 on a played day.
	bodyShare = 4
	// connShare is the part that connections and the heads on them may take.
	connShare = 4
	// connBytes is what a connection takes besides its head: two buffers of
	// net/http, the stacks of its goroutines and its record.
	connBytes = 16 << 10
	// bodyStep is how much memory a body in chunks takes at a time.
	bodyStep = 32 << 10
	// drainTime is how long the rest of a body is read that nobody wants before
	// the answer goes out, since net/http reads it first.
	drainTime = 500 * time.Millisecond
	// maxBodyTime bounds the time for a body whatever deadline its client states.
	maxBodyTime = defaultDeadline
	// refusedInterval is how often refused connections are logged.
	refusedInterval = time.Second
)

// Reasons of refusals before a request is read.
const (
	reasonConnections = "too many connections"
	reasonBodies      = "no memory for the body"
)

// errNoRoom ends the reading of a body for which no memory is left.
var errNoRoom = errors.New(reasonBodies)

// bounded returns the limits that are followed.
func bounded(l catalog.Limits) catalog.Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.HeaderBytes = min(l.HeaderBytes, maxHeaderBytes)
	l.HeaderTimeout = min(l.HeaderTimeout, maxHeaderTimeout)
	l.IdleTimeout = min(l.IdleTimeout, maxIdleTimeout)
	return l
}

// intake bounds what callers make the process hold while their requests arrive.
type intake struct {
	next   http.Handler
	limits func() catalog.Limits
	refuse http.HandlerFunc // answers a request whose body has no room

	mu     sync.Mutex
	memory int64 // of the process, 0 where it is not known
	bodies int64 // bytes of bodies in hand: their declared lengths, or what has come of those in chunks
	conns  int64
}

// room returns the bytes that bodies and connections may take, each by its share.
func (i *intake) room(share int64) int64 {
	memory := i.memory
	if memory <= 0 {
		memory = defaultMemory
	}
	return memory / share
}

// takeConn reports whether another connection fits.
func (i *intake) takeConn(headerBytes int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if (i.conns+1)*int64(headerBytes+connBytes) > i.room(connShare) {
		return false
	}
	i.conns++
	return true
}

func (i *intake) giveConn() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conns--
}

// onState keeps count of the connections of a server.
func (i *intake) onState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		i.giveConn()
	}
}

func (i *intake) takeBody(bytes int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.bodies+bytes > i.room(bodyShare) {
		return false
	}
	i.bodies += bytes
	return true
}

func (i *intake) giveBody(bytes int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.bodies -= bytes
}

// ServeHTTP implements http.Handler.
func (i *intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		i.next.ServeHTTP(w, r)
		return
	}
	limit := bounded(i.limits()).BodyBytes
	size := r.ContentLength
	if size > limit {
		size, limit = 0, 0 // the gateway may have other reasons to refuse it; nothing of it is read
	}
	body := &callerBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, limit), control: http.NewResponseController(w),
		intake: i, reserved: max(size, 0),
	}
	defer body.finish()
	if !i.takeBody(body.reserved) {
		i.refuse(w, r)
		return
	}
	defer func() { i.giveBody(body.reserved) }()
	timer := time.AfterFunc(maxBodyTime, body.expire)
	defer timer.Stop()
	r.Body = body
	i.next.ServeHTTP(w, r)
}

// callerBody is a body as a caller sends it.
type callerBody struct {
	io.ReadCloser
	control  *http.ResponseController
	intake   *intake
	reserved int64 // bytes of memory
	size     int64 // bytes that were read

	mu   sync.Mutex
	over bool // nothing more is read
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	for b.size > b.reserved {
		if !b.intake.takeBody(bodyStep) {
			return 0, errNoRoom
		}
		b.reserved += bodyStep
	}
	if err == io.EOF {
		b.mu.Lock()
		b.over = true
		b.mu.Unlock()
	}
	return n, err
}

// expire ends the reading of a body that takes too long.
func (b *callerBody) expire() { b.setDeadline(time.Now()) }

// finish is called when the request has its answer. What is left of the body
// must not hold it up.
func (b *callerBody) finish() { b.setDeadline(time.Now().Add(drainTime)) }

func (b *callerBody) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		return
	}
	// A connection that takes no deadline any more is closed.
	_ = b.control.SetReadDeadline(t)
}

// refuseBody answers a request whose body has no room.
func (s *Server) refuseBody(w http.ResponseWriter, r *http.Request) {
	s.Gateway.Metrics.Refusals.WithLabelValues(reasonBodies).Inc()
	fields := telemetry.Fields{"status": http.StatusServiceUnavailable, "reason": reasonBodies, "bytes": r.ContentLength}
	if call, err := s.Gateway.Dialect.ParseCall(r); err == nil {
		fields["request"] = call.ID
		s.Gateway.Dialect.Refusal(w.Header(), call.ID)
	}
	s.Log.Info("refused", fields)
	w.Header().Set("Retry-After", strconv.FormatFloat(staleRetryAfter.Seconds(), 'f', 2, 64))
	http.Error(w, reasonBodies, http.StatusServiceUnavailable)
}

// refuseConn closes a connection unread. The counter has all, the log one in a while.
func (s *Server) refuseConn(conn net.Conn) {
	conn.Close()
	s.Gateway.Metrics.Refusals.WithLabelValues(reasonConnections).Inc()
	now := time.Now()
	s.mu.Lock()
	quiet := now.Sub(s.refusedAt) < refusedInterval
	if !quiet {
		s.refusedAt = now
	}
	s.mu.Unlock()
	if !quiet {
		s.Log.Warn("connection refused", telemetry.Fields{"reason": reasonConnections})
	}
}
