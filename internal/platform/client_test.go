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

func start(t *testing.T, config fake.Config) (*fake.Platform, *platform.Client) {
	t.Helper()
	p := fake.New(config)
	NewWithT(t).Expect(p.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	c := platform.New(p.Address())
	t.Cleanup(c.Close)
	return p, c
}

// TestAppendOutcome checks each fault's error against what the log then holds.
func TestAppendOutcome(t *testing.T) {
	tests := []struct {
		name   string
		config fake.Config
		faults fake.Faults
		want   error
		taken  bool
	}{
		{"no fault", fake.Config{}, fake.Faults{}, nil, true},
		{"slow", fake.Config{}, fake.Faults{SlowMilliseconds: 20}, nil, true},
		{"busy", fake.Config{}, fake.Faults{Outage: fake.Busy}, journal.ErrUnavailable, false},
		{"refused", fake.Config{}, fake.Faults{Outage: fake.Refuse}, journal.ErrUnavailable, false},
		{"hanging", fake.Config{}, fake.Faults{Outage: fake.Hang}, journal.ErrOutcomeUnknown, false},
		{"too slow", fake.Config{}, fake.Faults{SlowMilliseconds: 2000}, journal.ErrOutcomeUnknown, false},
		{"lost answer", fake.Config{}, fake.Faults{LoseAnswers: 1}, journal.ErrOutcomeUnknown, true},
		{"over the rate", fake.Config{AppendsPerSecond: 0.001}, fake.Faults{}, journal.ErrUnavailable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			p, c := start(t, test.config)
			log := c.Log()
			_, err := log.Append(t.Context(), "config", []byte("first"))
			g.Expect(err).NotTo(HaveOccurred())

			if errors.Is(test.want, journal.ErrOutcomeUnknown) {
				c.Timeout = 100 * time.Millisecond
			}
			c.Close() // TestIdleConnectionCut has an open connection
			p.Inject(test.faults)
			_, err = log.Append(t.Context(), "config", []byte("second"))
			if test.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(test.want))
			}
			next := journal.Offset(2)
			if test.taken {
				next = 3
			}
			g.Expect(p.Status().Streams["config"].Next).To(Equal(next))
		})
	}
}

// TestIdleConnectionCut appends in the moment in which the platform goes away.
// The client may not know what happened, but it must not be wrong.
func TestIdleConnectionCut(t *testing.T) {
	for i := range 20 {
		g := NewWithT(t)
		p, c := start(t, fake.Config{})
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
		taken := p.Status().Streams["config"].Next == 3
		switch {
		case err == nil:
			g.Expect(taken).To(BeTrue())
		case errors.Is(err, journal.ErrUnavailable):
			g.Expect(taken).To(BeFalse())
		default:
			g.Expect(err).To(MatchError(journal.ErrOutcomeUnknown))
		}
	}
}

func TestRead(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t, fake.Config{})
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

	t.Run("older than the retention", func(t *testing.T) {
		g := NewWithT(t)
		p.Inject(fake.Faults{KeepEntries: 1})
		page, err := log.Read(t.Context(), "claims-0", 1, 10, 0)
		g.Expect(err).To(MatchError(journal.ErrExpired))
		g.Expect(page.First).To(BeEquivalentTo(4))
	})
}
