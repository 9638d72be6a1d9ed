package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// echo starts a server that sends back what it gets, behind a proxy.
func echo(t *testing.T) *Proxy {
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

// expectBack sends text and checks what comes back of it.
func expectBack(g *WithT, conn net.Conn, text, want string) {
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
		open, new string // what comes back over an open and over a new connection
	}{
		{"passes", func(*Proxy) {}, "heron", "heron"},
		{"open ones silent", (*Proxy).SilenceOpen, "", "heron"},
		{"new ones silent", func(p *Proxy) { p.SilenceNew(true) }, "heron", ""},
		{"open ones cut", (*Proxy).CutOpen, "", "heron"},
		{"cut to the caller", func(p *Proxy) { p.CutNew(Unlimited, 2) }, "heron", "he"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			p := echo(t)
			open, err := net.Dial("tcp", p.Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer open.Close()
			expectBack(g, open, "first", "first")
			test.fault(p)
			expectBack(g, open, "heron", test.open)
			fresh, err := net.Dial("tcp", p.Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer fresh.Close()
			expectBack(g, fresh, "heron", test.new)
		})
	}
}

func TestCutToTarget(t *testing.T) {
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
