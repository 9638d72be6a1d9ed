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

// blockedWriter blocks each Write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	buf      bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func startLog(l *telemetry.Log) (stop func()) {
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

func TestBlockedWriterDoesNotDelayLogging(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{released: make(chan struct{})}
	l := telemetry.New(out, logrus.InfoLevel, nil)
	stop := startLog(l)
	allLogged := make(chan struct{})
	go func() {
		defer close(allLogged)
		for n := range 20000 {
			trace := telemetry.RequestTrace{Log: l, Request: "r"}
			trace.Add("admitted", telemetry.Fields{"n": n})
			trace.Add("ended", telemetry.Fields{"n": n})
			trace.End(false)
		}
		trace := telemetry.RequestTrace{Log: l, Request: "failed-request"}
		trace.Add("refused", telemetry.Fields{"reason": "no place"})
		trace.End(true)
	}()
	g.Eventually(allLogged, 20*time.Second).Should(BeClosed(), "logging does not wait for the writer")
	g.Expect(l.Dropped()).To(BeNumerically(">", 0))
	close(out.released)
	stop()
	text := out.buf.String()
	g.Expect(text).To(ContainSubstring("failed-request"), "lines of failed requests have priority")
	g.Expect(text).To(ContainSubstring("log lines left out"))
}

func TestLineFields(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := telemetry.New(&out, logrus.InfoLevel, telemetry.Fields{"instance": "entry-1"})
	stop := startLog(l)
	l.Debug("not logged", nil)
	trace := telemetry.RequestTrace{Log: l, Request: "r1"}
	trace.Add("placed", telemetry.Fields{"place": "w1"})
	trace.End(false)
	stop()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(1))
	var fields map[string]any
	g.Expect(json.Unmarshal([]byte(lines[0]), &fields)).To(Succeed())
	for name, want := range map[string]any{"msg": "placed", "place": "w1", "request": "r1", "instance": "entry-1", "level": "info"} {
		g.Expect(fields).To(HaveKeyWithValue(name, want))
	}
}
