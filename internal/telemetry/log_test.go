package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/telemetry"
)

// blocked is a reader that takes nothing until it is released.
type blocked struct {
	released chan struct{}
	mu       sync.Mutex
	buf      bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.released
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func run(l *telemetry.Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestAReaderThatDoesNotReadDelaysNothing(t *testing.T) {
	g := NewWithT(t)
	out := &blocked{released: make(chan struct{})}
	l := telemetry.New(out, logrus.InfoLevel, nil)
	stop := run(l)
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		for n := range 20000 {
			s := telemetry.RequestTrace{Log: l, Request: "r"}
			s.Add("admitted", telemetry.Fields{"n": n})
			s.Add("ended", telemetry.Fields{"n": n})
			s.End(false)
		}
		s := telemetry.RequestTrace{Log: l, Request: "the-failed-one"}
		s.Add("refused", telemetry.Fields{"reason": "no place"})
		s.End(true)
	}()
	g.Eventually(flooded, 20*time.Second).Should(BeClosed(), "nothing waits for the reader")
	g.Expect(l.Dropped()).To(BeNumerically(">", 0))
	close(out.released)
	stop()
	text := out.buf.String()
	g.Expect(text).To(ContainSubstring("the-failed-one"), "lines of failures are kept before those of successes")
	g.Expect(text).To(ContainSubstring("log lines left out"))
}

func TestLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := telemetry.New(&out, logrus.InfoLevel, telemetry.Fields{"instance": "entry-1"})
	stop := run(l)
	l.Debug("not logged", nil)
	s := telemetry.RequestTrace{Log: l, Request: "r1"}
	s.Add("placed", telemetry.Fields{"place": "w1"})
	s.End(false)
	stop()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(1))
	var fields map[string]any
	g.Expect(json.Unmarshal([]byte(lines[0]), &fields)).To(Succeed())
	for name, want := range map[string]any{"msg": "placed", "place": "w1", "request": "r1", "instance": "entry-1", "level": "info"} {
		g.Expect(fields).To(HaveKeyWithValue(name, want))
	}
}
