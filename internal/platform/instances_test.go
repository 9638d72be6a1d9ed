package platform_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	stand "github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	fake "github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

func TestKeepRegistered(t *testing.T) {
	g := NewWithT(t)
	_, c := startPlatform(t, fake.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	entry := platform.Instance{Name: "e1", Kind: platform.Entry, Address: "127.0.0.1:1", DataCentre: "a", BootID: "b1"}
	go c.KeepRegistered(ctx, time.Millisecond, func() platform.Instance { return entry }, nil)
	d := desk.New(desk.Config{Name: "orders-1"})
	d.Inject(desk.Faults{Leaving: true})
	go stand.KeepRegistered(ctx, c.Address, func() (platform.Instance, bool) {
		return d.Instance(platform.Instance{DataCentre: "a"})
	})
	list := func() []platform.Instance {
		list, err := c.Instances(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		return list.Instances
	}
	g.Eventually(list).WithTimeout(5 * time.Second).Should(ConsistOf(
		Equal(entry),
		And(HaveField("Kind", platform.Backend), HaveField("State", platform.Leaving), HaveField("BootID", Not(BeEmpty()))),
	))
}

func TestGoneInstanceIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, c := startPlatform(t, fake.Config{})
	entry := platform.Instance{Name: "e1", BootID: "b1"}
	g.Expect(c.Register(t.Context(), entry)).To(Succeed())
	entry.State = platform.Gone
	g.Expect(c.Register(t.Context(), entry)).To(Succeed())
	entry.State = platform.Live
	g.Expect(c.Register(t.Context(), entry)).To(MatchError(journal.ErrUnavailable))
}

func TestWeights(t *testing.T) {
	g := NewWithT(t)
	p, c := startPlatform(t, fake.Config{WeightBytes: 10_000})
	received := 0
	n, err := c.Weights(t.Context(), "draft", "1", func(block []byte) error { received += len(block); return nil })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeEquivalentTo(10_000))
	g.Expect(received).To(Equal(10_000))

	p.Inject(fake.Faults{Outage: fake.Hang})
	c.Timeout = 50 * time.Millisecond
	_, err = c.Weights(t.Context(), "draft", "1", nil)
	g.Expect(err).To(MatchError(journal.ErrUnavailable), "the read fails if no byte arrives")
}
