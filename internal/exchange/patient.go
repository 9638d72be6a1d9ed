package exchange

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// reachCheckInterval is how often a connection that is written to is checked for a
	// remote side that is out of reach.
	reachCheckInterval = time.Second
	// outOfReachAfter is the time without any acknowledgement after which the remote side
	// may be out of reach.
	outOfReachAfter = 2500 * time.Millisecond
	// outOfReachTries is how many packets in a row must have got no answer by then. A
	// remote side that reads nothing still answers the probes of its window.
	outOfReachTries = 3
	// maxWriteTime bounds a write that has no deadline.
	maxWriteTime = 30 * time.Second
)

// errOutOfReach ends a write to a remote side that acknowledges nothing.
var errOutOfReach = errors.Wrap(syscall.ETIMEDOUT, "remote side is out of reach")

// patientConn is a connection whose remote side may read as slowly as it likes: a write
// lasts until its deadline. It ends sooner if the remote side is out of reach and the
// system can tell (TCP_INFO).
type patientConn struct {
	net.Conn
	maxWriteTime time.Duration // for a write without a deadline; 0 means no bound

	// For Write only, of which one runs at a time.
	lastWrite time.Time // end of the last write
	lastCheck time.Time
	noInfo    bool // the system doesn't tell whether the remote side is out of reach

	mu       sync.Mutex
	deadline time.Time // for writes, as set by the user of the connection
}

// Write implements net.Conn.
func (c *patientConn) Write(p []byte) (int, error) {
	start := time.Now()
	if start.Sub(c.lastWrite) > reachCheckInterval {
		c.lastCheck = start
	}
	defer func() { c.lastWrite = time.Now() }()
	defer c.endSlice()
	written := 0
	for {
		if c.isOutOfReach(time.Now()) {
			return written, errOutOfReach
		}
		end, err := c.beginSlice(start)
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !end.IsZero() && !time.Now().Before(end) {
			return written, err
		}
	}
}

// beginSlice sets the deadline of the connection to the next check, or to the end of the
// write if that is sooner. It returns the end, which is zero if there is none.
func (c *patientConn) beginSlice(start time.Time) (end time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end = c.deadline
	if end.IsZero() && c.maxWriteTime > 0 {
		end = start.Add(c.maxWriteTime)
	}
	slice := time.Now().Add(reachCheckInterval)
	if !end.IsZero() && end.Before(slice) {
		slice = end
	}
	return end, c.Conn.SetWriteDeadline(slice)
}

func (c *patientConn) endSlice() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(c.deadline) // fails if the connection is closed
}

// isOutOfReach reports whether the remote side is known to be out of reach. It asks the
// system once in each reachCheckInterval.
func (c *patientConn) isOutOfReach(now time.Time) bool {
	if c.noInfo || now.Sub(c.lastCheck) < reachCheckInterval {
		return false
	}
	c.lastCheck = now
	info, err := tcpInfo(c.Conn)
	if err != nil {
		c.noInfo = true
		return false
	}
	return showsOutOfReach(info)
}

// showsOutOfReach reports whether the remote side of a connection acknowledges neither
// data nor the probes of a closed window.
func showsOutOfReach(info *unix.TCPInfo) bool {
	quiet := time.Duration(info.Last_ack_recv) * time.Millisecond
	return quiet >= outOfReachAfter && max(info.Retransmits, info.Probes) >= outOfReachTries
}

func tcpInfo(c net.Conn) (info *unix.TCPInfo, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.New("no TCP connection")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}

// SetWriteDeadline implements net.Conn.
func (c *patientConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *patientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite ends the writing side, so that net/http can close a connection without
// a reset.
func (c *patientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.New("connection has no writing side to close")
}

// SyscallConn implements syscall.Conn.
func (c *patientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no socket")
	}
	return sc.SyscallConn()
}

// patientListener accepts patient connections.
type patientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if _, err := tcpInfo(c); err != nil {
		// Nothing else tells that a client is out of reach, and it would hold its place
		// at a backend server until its deadline.
		limitPauses(c)
	}
	return &patientConn{Conn: c, maxWriteTime: maxWriteTime}, nil
}
