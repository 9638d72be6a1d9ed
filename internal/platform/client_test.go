package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	fake "github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

func startPlatform(t *testing.T, config fake.Config) (*fake.Platform, *platform.Client) {
	t.Helper()
	p := fake.New(config)
	NewWithT(t).Expect(p.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	c := platform.New(p.Address())
	t.Cleanup(c.Close)
	return p, c
}

// The error of an append must agree with whether the log then has the entry.
func TestAppendOutcome(t *testing.T) {
	tests := []struct {
		name     string
		config   fake.Config
		faults   fake.Faults
		want     error
		appended bool
	}{
		{"no fault", fake.Config{}, fake.Faults{}, nil, true},
		{"slow", fake.Config{}, fake.Faults{SlowMilliseconds: 20}, nil, true},
		{"platform busy", fake.Config{}, fake.Faults{Outage: fake.Busy}, journal.ErrUnavailable, false},
		{"connection refused", fake.Config{}, fake.Faults{Outage: fake.Refuse}, journal.ErrUnavailable, false},
		{"platform hangs", fake.Config{}, fake.Faults{Outage: fake.Hang}, journal.ErrOutcomeUnknown, false},
		{"slower than the timeout", fake.Config{}, fake.Faults{SlowMilliseconds: 2000}, journal.ErrOutcomeUnknown, false},
		{"lost answer", fake.Config{}, fake.Faults{LoseAnswers: 1}, journal.ErrOutcomeUnknown, true},
		{"append rate exceeded", fake.Config{AppendsPerSecond: 0.001}, fake.Faults{}, journal.ErrUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			p, c := startPlatform(t, tt.config)
			log := c.Log()
			_, err := log.Append(t.Context(), "config", []byte("first"))
			g.Expect(err).NotTo(HaveOccurred())

			if errors.Is(tt.want, journal.ErrOutcomeUnknown) {
				c.Timeout = 100 * time.Millisecond
			}
			c.Close() // TestIdleConnectionCut covers an open connection
			p.Inject(tt.faults)
			_, err = log.Append(t.Context(), "config", []byte("second"))
			if tt.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(tt.want))
			}
			next := journal.Offset(2)
			if tt.appended {
				next = 3
			}
			g.Expect(p.Status().Streams["config"].Next).To(Equal(next))
		})
	}
}

// TestIdleConnectionCut appends on an idle connection at about the time at which the
// platform becomes unreachable. The client may report an unknown outcome, but not a
// wrong one.
func TestIdleConnectionCut(t *testing.T) {
	for i := range 20 {
		g := NewWithT(t)
		p, c := startPlatform(t, fake.Config{})
		log := c.Log()
		_, err := log.Append(t.Context(), "config", nil)
		g.Expect(err).NotTo(HaveOccurred())
		down := make(chan struct{})
		go func() {
			time.Sleep(time.Duration(i) * 20 * time.Microsecond)
			p.Inject(fake.Faults{Outage: fake.Refuse})
			close(down)
		}()
		_, err = log.Append(t.Context(), "config", nil)
		<-down
		appended := p.Status().Streams["config"].Next == 3
		switch {
		case err == nil:
			g.Expect(appended).To(BeTrue())
		case errors.Is(err, journal.ErrUnavailable):
			g.Expect(appended).To(BeFalse())
		default:
			g.Expect(err).To(MatchError(journal.ErrOutcomeUnknown))
		}
	}
}

func TestRead(t *testing.T) {
	g := NewWithT(t)
	p, c := startPlatform(t, fake.Config{})
	log := c.Log()
	for _, data := range []string{"a", "b", "c"} {
		_, err := log.Append(t.Context(), "claims-0", []byte(data))
		g.Expect(err).NotTo(HaveOccurred())
	}

	t.Run("from the beginning", func(t *testing.T) {
		g := NewWithT(t)
		page, err := log.Read(t.Context(), "claims-0", 1, 2, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Entries).To(HaveLen(2))
		g.Expect(page.First).To(BeEquivalentTo(1))
		g.Expect(page.Next).To(BeEquivalentTo(4))
		g.Expect(string(page.Entries[1].Data)).To(Equal("b"))
	})

	t.Run("waits for an entry", func(t *testing.T) {
		g := NewWithT(t)
		time.AfterFunc(20*time.Millisecond, func() { log.Append(context.Background(), "claims-0", []byte("d")) })
		page, err := log.Read(t.Context(), "claims-0", 4, 10, 5*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Entries).To(HaveLen(1))
	})

	t.Run("expired offset", func(t *testing.T) {
		g := NewWithT(t)
		p.Inject(fake.Faults{KeepEntries: 1})
		page, err := log.Read(t.Context(), "claims-0", 1, 10, 0)
		g.Expect(err).To(MatchError(journal.ErrExpired))
		g.Expect(page.First).To(BeEquivalentTo(4))
	})
}
