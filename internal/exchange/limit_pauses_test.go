package exchange

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Where the system doesn't tell whether a client is out of reach, clients that were held
// places at backend servers until their deadlines.
func TestPausesAreLimitedOnlyWithoutTCPInfo(t *testing.T) {
	g := NewWithT(t)
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	accepted, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer accepted.Close()
	userTimeout := func() (milliseconds int) {
		raw, err := accepted.(syscall.Conn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(raw.Control(func(fd uintptr) {
			milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return milliseconds
	}
	_, err = tcpInfo(accepted)
	g.Expect(err).NotTo(HaveOccurred(), "Linux tells")
	g.Expect(userTimeout()).To(BeZero())
	limitPauses(accepted)
	g.Expect(userTimeout()).To(BeEquivalentTo(tcpUserTimeout.Milliseconds()))
}
