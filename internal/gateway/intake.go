package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/clientconn"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

const (
	// Limits that apply where the configuration sets none or is not known yet. The
	// first two are common values for net/http servers.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// Upper bounds of the configured limits.
	maxHeaderBytes   = 1 << 20 // net/http's default
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = time.Hour

	// defaultMemoryBytes is used if the settings state no memory.
	defaultMemoryBytes = 256 << 20
	// bodyMemoryDivisor divides the memory of the process to give the part that
	// request bodies in progress may take. The heap may fill 0.6 of the memory, and
	// everything else on it takes 23 MB of 284 MB.
	bodyMemoryDivisor = 4
	// connMemoryDivisor gives the part that connections and the request heads on
	// them may take.
	connMemoryDivisor = 4
	// bytesPerConn is the memory of a connection besides the request head: two
	// buffers of net/http, the stacks of its goroutines and its bookkeeping.
	bytesPerConn = 16 << 10
	// bodyReserveBytes is the step in which memory is reserved for a chunked body.
	bodyReserveBytes = 32 << 10
	// bodyDrainTime is how long the unread rest of a body may delay the answer, since
	// net/http reads it before it sends the answer.
	bodyDrainTime = 500 * time.Millisecond
	// maxBodyTime bounds the time to receive a body, whatever deadline the client
	// states.
	maxBodyTime = defaultDeadline
	// refusedLogInterval is the least time between two log lines about refused
	// connections.
	refusedLogInterval = time.Second
)

// Reasons of refusals for lack of memory, used in answers, logs and metrics.
const (
	reasonTooManyConns = "too many connections"
	reasonNoBodyMemory = "no memory for the body"
)

// errNoBodyMemory is returned by the body of a request for which no memory is left.
var errNoBodyMemory = errors.New(reasonNoBodyMemory)

// effectiveLimits replaces missing limits by their defaults and bounds the others.
func effectiveLimits(l catalog.Limits) catalog.Limits {
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

// memoryLimiter bounds the memory that clients can occupy with connections and
// bodies while their requests arrive.
type memoryLimiter struct {
	next   http.Handler
	limits func() catalog.Limits
	refuse http.HandlerFunc // answers a request for whose body no memory is left

	mu           sync.Mutex
	processBytes int64 // bytes that the process may use; 0 if unknown
	bodyBytes    int64 // bytes reserved for bodies in progress: declared lengths, or what has arrived of chunked ones
	openConns    int64
}

// capacity returns the memory of the process divided by the divisor.
func (m *memoryLimiter) capacity(divisor int64) int64 {
	memory := m.processBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return memory / divisor
}

// acquireConn counts a new connection, or returns false if it would exceed the
// memory for connections.
func (m *memoryLimiter) acquireConn(headerBytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if (m.openConns+1)*int64(headerBytes+bytesPerConn) > m.capacity(connMemoryDivisor) {
		return false
	}
	m.openConns++
	return true
}

func (m *memoryLimiter) releaseConn() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openConns--
}

// onState is a callback for http.Server.ConnState that releases closed connections.
func (m *memoryLimiter) onState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		m.releaseConn()
	}
}

// reserveBody reserves memory for a body of this size, or returns false if the bodies
// in progress would then take more than their part of the process's memory.
func (m *memoryLimiter) reserveBody(size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bodyBytes+size > m.capacity(bodyMemoryDivisor) {
		return false
	}
	m.bodyBytes += size
	return true
}

func (m *memoryLimiter) releaseBody(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodyBytes -= size
}

// ServeHTTP implements http.Handler.
func (m *memoryLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clientconn.Of(r).Begin("") // the ID isn't known yet
	if r.ContentLength == 0 {
		m.next.ServeHTTP(w, r)
		return
	}
	limit := effectiveLimits(m.limits()).BodyBytes
	size := r.ContentLength
	if size > limit {
		size, limit = 0, 0 // nothing of the body is read; the gateway may refuse the request for another reason
	}
	body := &clientBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, limit), control: http.NewResponseController(w),
		limiter: m, reserved: max(size, 0),
	}
	defer body.finish()
	if !m.reserveBody(body.reserved) {
		m.refuse(w, r)
		return
	}
	defer func() { m.releaseBody(body.reserved) }()
	timer := time.AfterFunc(maxBodyTime, body.expire)
	defer timer.Stop()
	r.Body = body
	m.next.ServeHTTP(w, r)
}

// clientBody is the body of a client's request. It reserves memory as it is read
// and bounds the time for it.
type clientBody struct {
	io.ReadCloser
	control  *http.ResponseController
	limiter  *memoryLimiter
	reserved int64 // bytes of memory reserved
	size     int64 // bytes read so far

	mu    sync.Mutex
	ended bool // read to its end, so that no deadline is needed
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	for b.size > b.reserved {
		if !b.limiter.reserveBody(bodyReserveBytes) {
			return 0, errNoBodyMemory
		}
		b.reserved += bodyReserveBytes
	}
	if err == io.EOF {
		b.mu.Lock()
		b.ended = true
		b.mu.Unlock()
	}
	return n, err
}

// expire makes reads of a body fail that takes too long to arrive.
func (b *clientBody) expire() { b.setReadDeadline(time.Now()) }

// finish is called when the answer has been written. It bounds the time for which
// net/http reads the rest of the body.
func (b *clientBody) finish() { b.setReadDeadline(time.Now().Add(bodyDrainTime)) }

func (b *clientBody) setReadDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	// A connection that no longer accepts a deadline is closed already.
	_ = b.control.SetReadDeadline(deadline)
}

// refuseBody answers a request for whose body no memory is left.
func (s *Server) refuseBody(w http.ResponseWriter, r *http.Request) {
	s.Gateway.Metrics.Refusals.WithLabelValues(reasonNoBodyMemory).Inc()
	fields := telemetry.Fields{"status": http.StatusServiceUnavailable, "reason": reasonNoBodyMemory, "bytes": r.ContentLength}
	if call, err := s.Gateway.Dialect.ParseCall(r); err == nil {
		fields["request"] = call.ID
		s.Gateway.Dialect.Refusal(w.Header(), call.ID)
	}
	s.Log.Info("refused", fields)
	s.Gateway.closeAfterAnswer(w, r)
	w.Header().Set("Retry-After", strconv.FormatFloat(staleRetryAfter.Seconds(), 'f', 2, 64))
	http.Error(w, reasonNoBodyMemory, http.StatusServiceUnavailable)
}

// refuseConn closes a connection without reading from it. All refusals are counted,
// and at most one for each refusedLogInterval is logged.
func (s *Server) refuseConn(conn net.Conn) {
	conn.Close()
	s.Gateway.Metrics.Refusals.WithLabelValues(reasonTooManyConns).Inc()
	now := time.Now()
	s.mu.Lock()
	recentlyLogged := now.Sub(s.lastRefusedLog) < refusedLogInterval
	if !recentlyLogged {
		s.lastRefusedLog = now
	}
	s.mu.Unlock()
	if !recentlyLogged {
		s.Log.Warn("connection refused", telemetry.Fields{"reason": reasonTooManyConns})
	}
}
