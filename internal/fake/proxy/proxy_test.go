package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startEchoProxy starts an echo server and a proxy in front of it.
func startEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	p, err := Start(t.Context(), "127.0.0.1:0", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	return p
}

// expectEcho sends text and checks which part of it is echoed.
func expectEcho(g *WithT, conn net.Conn, text, want string) {
	conn.Write([]byte(text))
	wait := 10 * time.Second
	if want == "" {
		wait = 50 * time.Millisecond
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	got := make([]byte, len(text))
	n, _ := io.ReadFull(conn, got)
	g.Expect(string(got[:n])).To(Equal(want))
}

func TestProxy(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(*Proxy)
		open, new string // text echoed on a connection opened before the fault and on one opened after it
	}{
		{"no fault", func(*Proxy) {}, "heron", "heron"},
		{"open connections silenced", (*Proxy).SilenceOpen, "", "heron"},
		{"new connections silenced", func(p *Proxy) { p.SilenceNew(true) }, "heron", ""},
		{"open connections cut", (*Proxy).CutOpen, "", "heron"},
		{"new connections cut after bytes to the caller", func(p *Proxy) { p.CutNew(Unlimited, 2) }, "heron", "he"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			p := startEchoProxy(t)
			open, err := net.Dial("tcp", p.Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer open.Close()
			expectEcho(g, open, "first", "first")
			test.fault(p)
			expectEcho(g, open, "heron", test.open)
			second, err := net.Dial("tcp", p.Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer second.Close()
			expectEcho(g, second, "heron", test.new)
		})
	}
}

func TestCutAfterBytesToTarget(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	p, err := Start(t.Context(), "127.0.0.1:0", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	p.CutNew(3, Unlimited)
	caller, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	target, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer target.Close()
	caller.Write([]byte("heron"))
	got, err := io.ReadAll(target)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal("her"))
}
