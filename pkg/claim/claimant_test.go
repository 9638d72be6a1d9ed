package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

func testKey() Key {
	id := uuid.New()
	at := keyAt(time.Now(), 0).ID
	copy(id[:6], at[:6]) // uuid.NewV7 does not follow virtual time back
	return Key{ClientAccount: "library", Service: "orders", ID: id}
}

// bubble runs f under virtual time with claimants that end with it. They ask
// each other directly.
func bubble(t *testing.T, log *fakeLog, names []ClaimantID, f func(ctx context.Context, g *WithT, c []*Claimant)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		log.grown = make(chan struct{})
		all := map[ClaimantID]*Claimant{}
		var list []*Claimant
		for _, name := range names {
			c := &Claimant{ID: name, Log: log.Log(), Shards: 1}
			c.AskClaimant = func(_ context.Context, other ClaimantID, key Key, id ClaimID) (Outcome, error) {
				return all[other].Outcome(key, id), nil
			}
			all[name] = c
			list = append(list, c)
			go c.Run(ctx)
		}
		f(ctx, NewWithT(t), list)
	})
}

func TestBeginRunsOnceAndReplays(t *testing.T) {
	bubble(t, newFakeLog(), []ClaimantID{"a", "b"}, func(ctx context.Context, g *WithT, c []*Claimant) {
		key, digest := testKey(), DigestOf([]byte("order"))
		d, err := c[0].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Kind).To(Equal(Run))
		g.Expect(d.Grant.Use()).To(Succeed())
		g.Expect(d.Grant.Use()).To(MatchError(ErrGrantUsed))

		pending, err := c[1].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(pending.Kind).To(Equal(Pending))

		answer := NewAnswer(201, nil, nil, []byte("done"), 1024)
		g.Expect(d.Grant.Complete(ctx, answer)).To(Succeed())
		for _, claimant := range c {
			again, err := claimant.Begin(ctx, key, digest)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.Kind).To(Equal(Replay))
			g.Expect(again.Answer).To(Equal(answer))
		}
		other, err := c[1].Begin(ctx, key, DigestOf([]byte("another order")))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(other.Kind).To(Equal(Conflict))
	})
}

func TestReleaseReopensKey(t *testing.T) {
	bubble(t, newFakeLog(), []ClaimantID{"a", "b"}, func(ctx context.Context, g *WithT, c []*Claimant) {
		key, digest := testKey(), DigestOf()
		d, err := c[0].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Grant.Release(ctx, "no backend server")).To(Succeed())
		g.Expect(d.Grant.Use()).To(MatchError(ErrGrantEnded))
		again, err := c[1].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Kind).To(Equal(Run))
	})
}

func TestGivenUpAttemptNeverRuns(t *testing.T) {
	log := newFakeLog()
	log.LoseAnswer = true
	bubble(t, log, []ClaimantID{"a", "b"}, func(ctx context.Context, g *WithT, c []*Claimant) {
		key, digest := testKey(), DigestOf()
		var away *UnavailableError
		log.Latency = time.Minute // the claim lands long after it was given up
		_, err := c[0].Begin(ctx, key, digest)
		g.Expect(err).To(BeAssignableToTypeOf(away))

		log.set(func() { log.LoseAnswer, log.Latency = false, time.Millisecond })
		time.Sleep(3 * time.Minute)
		g.Expect(c[0].Flush(ctx)).To(Succeed())
		d, err := c[1].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Kind).To(Equal(Run), "the claim that was given up is released")
	})
}

func TestGivenUpClaimIsReleasedWithoutMoreTraffic(t *testing.T) {
	log := newFakeLog()
	log.ReadsAway = true
	bubble(t, log, []ClaimantID{"a"}, func(ctx context.Context, g *WithT, c []*Claimant) {
		_, err := c[0].Begin(ctx, testKey(), DigestOf())
		var away *UnavailableError
		g.Expect(err).To(BeAssignableToTypeOf(away))

		log.set(func() { log.ReadsAway = false })
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		g.Expect(c[0].Flush(ctx)).To(Succeed())
	})
}

func TestGoneClaimantIsUnknownAtOnce(t *testing.T) {
	bubble(t, newFakeLog(), []ClaimantID{"a", "b"}, func(ctx context.Context, g *WithT, c []*Claimant) {
		key, digest := testKey(), DigestOf()
		_, err := c[0].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())

		c[1].AskClaimant = func(context.Context, ClaimantID, Key, ClaimID) (Outcome, error) {
			return Outcome{}, ErrClaimantEnded
		}
		begun := time.Now()
		d, err := c[1].Begin(ctx, key, digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Kind).To(Equal(Unknown))
		g.Expect(time.Since(begun)).To(BeNumerically("<", DefaultPendingWait), "virtual time")
	})
}
