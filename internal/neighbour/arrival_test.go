package neighbour

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// The age of a received digest includes the time for which it waited in the
// socket buffer.
func TestBufferedFor(t *testing.T) {
	now := time.Unix(1000, 500)
	stamp := func(at time.Time) []byte {
		control := make([]byte, unix.CmsgSpace(16))
		binary.NativeEndian.PutUint64(control, uint64(unix.CmsgLen(16)))
		binary.NativeEndian.PutUint32(control[8:], unix.SOL_SOCKET)
		binary.NativeEndian.PutUint32(control[12:], unix.SCM_TIMESTAMPNS)
		binary.NativeEndian.PutUint64(control[unix.CmsgLen(0):], uint64(at.Unix()))
		binary.NativeEndian.PutUint64(control[unix.CmsgLen(0)+8:], uint64(at.Nanosecond()))
		return control
	}
	for _, c := range []struct {
		name    string
		control []byte
		want    time.Duration
	}{
		{"no timestamp", nil, 0},
		{"process was stopped for three seconds", stamp(now.Add(-3 * time.Second)), 3 * time.Second},
		{"clock was set back", stamp(now.Add(time.Hour)), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(bufferedFor(c.control, now)).To(Equal(c.want))
		})
	}
}

func TestReceiveTimestamps(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(enableReceiveTimestamps(conn)).To(Succeed())
	_, err = conn.WriteToUDP([]byte("x"), conn.LocalAddr().(*net.UDPAddr))
	g.Expect(err).NotTo(HaveOccurred())
	control := make([]byte, controlBufferBytes)
	_, n, _, _, err := conn.ReadMsgUDPAddrPort(make([]byte, 1), control)
	g.Expect(err).NotTo(HaveOccurred())
	// With a current time that is a second ahead, the datagram has waited for at
	// least a second.
	g.Expect(bufferedFor(control[:n], time.Now().Add(time.Second))).To(BeNumerically(">=", time.Second))
}
