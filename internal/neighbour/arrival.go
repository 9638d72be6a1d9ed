package neighbour

import (
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// controlBufferBytes is the size of the buffer for a datagram's control data,
// which holds its receive timestamp.
const controlBufferBytes = 128

// enableReceiveTimestamps makes the kernel record when each datagram arrived. A
// process that was stopped finds old datagrams in its socket buffer when it resumes.
func enableReceiveTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	if err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return err
	}
	return sockoptErr
}

// bufferedFor returns how long a datagram with the given control data has waited in
// the socket buffer. It returns 0 if there is no timestamp, or if the system clock
// was set back in the meantime.
func bufferedFor(control []byte, now time.Time) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0 // no timestamp; the kernel doesn't record one on every path
	}
	const stampBytes = 16 // 64-bit seconds and nanoseconds
	for _, message := range messages {
		if message.Header.Level != unix.SOL_SOCKET || message.Header.Type != unix.SCM_TIMESTAMPNS || len(message.Data) < stampBytes {
			continue
		}
		arrived := time.Unix(int64(binary.NativeEndian.Uint64(message.Data)), int64(binary.NativeEndian.Uint64(message.Data[8:])))
		return max(now.Round(0).Sub(arrived), 0)
	}
	return 0
}
