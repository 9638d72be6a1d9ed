package journal_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/journal/journaltest"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// appendChanges appends n changes to the stream.
func appendChanges(g Gomega, log *journaltest.Log, n int) {
	for range n {
		_, err := log.Client().Append(context.Background(), stream, record(kindChange, 0, nil))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// catchUp calls Step until the follower is at the log's end.
func catchUp(g Gomega, r *replica) {
	for range 20 {
		if err := r.Step(context.Background()); err == nil && !r.Status().Behind {
			return
		}
	}
	g.Expect(r.Status().Behind).To(BeFalse(), "%+v", r.Status())
}

func TestFollowerReadiness(t *testing.T) {
	t.Run("empty stream", func(t *testing.T) {
		g := NewWithT(t)
		var log journaltest.Log
		r := newReplica(&log)
		g.Expect(r.Status().Ready).To(BeFalse())
		catchUp(g, r)
		g.Expect(r.Status().Ready).To(BeTrue())
	})
	t.Run("log unavailable and no peer", func(t *testing.T) {
		g := NewWithT(t)
		var log journaltest.Log
		log.SetUnavailable(true)
		r := newReplica(&log)
		g.Expect(r.Step(t.Context())).NotTo(Succeed())
		g.Expect(r.Status().Ready).To(BeFalse())
	})
	t.Run("log unavailable and a peer", func(t *testing.T) {
		g := NewWithT(t)
		var log journaltest.Log
		appendChanges(g, &log, 3)
		peer := newReplica(&log)
		catchUp(g, peer)
		log.SetUnavailable(true)
		r := newReplica(&log)
		r.PeerState = peerStateFrom(func() ([]*replica, bool) { return []*replica{peer}, true })
		g.Expect(r.Step(t.Context())).NotTo(Succeed())
		status := r.Status()
		g.Expect(status.Ready).To(BeTrue())
		g.Expect(status.Behind).To(BeTrue())
		g.Expect(status.Source).To(Equal(journal.SourcePeer))
		g.Expect(r.changes).To(Equal(peer.changes))
	})
}

// TestPartialPeerStateIsNotReady guards against instances that become ready with
// a part of the stream: the log becomes unavailable while all instances are
// starting, and each gets the partial state of the other.
func TestPartialPeerStateIsNotReady(t *testing.T) {
	g := NewWithT(t)
	var log journaltest.Log
	appendChanges(g, &log, 600)
	var replicas [2]*replica
	for i := range replicas {
		replicas[i] = newReplica(&log)
		replicas[i].PeerState = peerStateFrom(func() ([]*replica, bool) { return []*replica{replicas[1-i]}, true })
	}
	g.Expect(replicas[0].Step(t.Context())).To(Succeed())
	log.SetUnavailable(true)
	for _, r := range replicas {
		g.Expect(r.Step(t.Context())).NotTo(Succeed())
		g.Expect(r.offset).To(Equal(journal.Offset(256)))
		g.Expect(r.Status().Ready).To(BeFalse())
	}
	log.SetUnavailable(false)
	for _, r := range replicas {
		catchUp(g, r)
		g.Expect(r.Status().Ready).To(BeTrue())
	}
}

// TestAllInstancesReplacedDuringOutage replaces every instance while the log is
// unavailable for longer than its retention, so that it comes back without the
// earlier entries. The state must survive.
func TestAllInstancesReplacedDuringOutage(t *testing.T) {
	g := NewWithT(t)
	var log journaltest.Log
	appendChanges(g, &log, 5)
	old := newReplica(&log)
	catchUp(g, old)
	log.SetUnavailable(true)
	for range 3 {
		source := old
		old = newReplica(&log)
		old.PeerState = peerStateFrom(func() ([]*replica, bool) { return []*replica{source}, true })
		g.Expect(old.Step(t.Context())).NotTo(Succeed())
	}
	log.Expire(stream, 5)
	log.SetUnavailable(false)
	appendChanges(g, &log, 1)
	log.Expire(stream, 5)
	catchUp(g, old)
	fresh := newReplica(&log)
	catchUp(g, fresh)
	g.Expect(fresh.changes).To(Equal([]journal.Offset{1, 2, 3, 4, 5, 6}))
}

// TestAllEntriesExpire guards against the loss of the state when all entries of
// a stream expire before an instance has written a snapshot.
func TestAllEntriesExpire(t *testing.T) {
	g := NewWithT(t)
	var log journaltest.Log
	appendChanges(g, &log, 3)
	old := newReplica(&log)
	catchUp(g, old)
	log.Expire(stream, 3)
	catchUp(g, old)
	fresh := newReplica(&log)
	catchUp(g, fresh)
	g.Expect(fresh.changes).To(Equal(old.changes))
	entries, _ := log.Appends()
	g.Expect(entries).To(Equal(4), "three changes and one snapshot")
}

func TestLostEntries(t *testing.T) {
	var log journaltest.Log
	g := NewWithT(t)
	appendChanges(g, &log, 2)
	r, isolated := newReplica(&log), newReplica(&log)
	catchUp(g, r)
	log.SetUnavailable(true)
	log.SetUnavailable(false)
	appendChanges(g, &log, 3)
	log.Expire(stream, 4)
	complete := false
	r.PeerState = peerStateFrom(func() ([]*replica, bool) { return []*replica{isolated}, complete })

	err := r.Step(t.Context())
	g.Expect(errors.Is(err, journal.ErrLost)).To(BeTrue(), "a peer that does not answer may have a state with the lost entries")
	g.Expect(r.Status().Ready).To(BeTrue(), "the follower stays ready with its last state")

	complete = true
	catchUp(g, r)
	g.Expect(r.changes).To(Equal([]journal.Offset{1, 2, 5}))
	catchUp(g, isolated)
	g.Expect(isolated.changes).To(Equal(r.changes), "the state was written to the log as a snapshot")
}

func TestNewerFormat(t *testing.T) {
	g := NewWithT(t)
	var log journaltest.Log
	appendChanges(g, &log, 1)
	_, err := log.Client().Append(t.Context(), stream, []byte(`{"Format":2,"Kind":"Later","Other":{}}`))
	g.Expect(err).NotTo(HaveOccurred())
	appendChanges(g, &log, 1)
	r := newReplica(&log)
	g.Expect(r.Step(t.Context())).NotTo(Succeed())
	g.Expect(r.Step(t.Context())).NotTo(Succeed())
	g.Expect(r.changes).To(Equal([]journal.Offset{1}))
	g.Expect(r.Status().Stopped).To(HaveOccurred())
	g.Expect(r.Status().Behind).To(BeTrue())
}

// TestPeriodicSnapshot runs two instances on a stream without new changes, whose
// entries expire after an hour.
func TestPeriodicSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var log journaltest.Log
		appendChanges(g, &log, 3)
		for _, jitter := range []float64{0.2, 0.8} {
			r := newReplica(&log)
			r.Wait, r.Due, r.Retention = 0, nil, time.Hour
			r.Jitter = func() float64 { return jitter }
			go func() { _ = r.Run(t.Context()) }()
		}
		time.Sleep(8 * time.Hour)
		entries, _ := log.Appends()
		g.Expect(entries).To(BeNumerically("~", 3+8*60/18, 2))
		first, next := log.Bounds(stream)
		log.Expire(stream, next-5)
		g.Expect(first).To(Equal(journal.Offset(1)))
		fresh := newReplica(&log)
		catchUp(g, fresh)
		g.Expect(fresh.changes).To(Equal([]journal.Offset{1, 2, 3}))
	})
}

func TestSkipLost(t *testing.T) {
	g := NewWithT(t)
	var log journaltest.Log
	appendChanges(g, &log, 3)
	log.Expire(stream, 2)
	r := newReplica(&log)
	g.Expect(r.Step(t.Context())).NotTo(Succeed())
	g.Expect(r.Status().Ready).To(BeFalse(), "a new instance has no state to serve requests from")
	r.SkipLost()
	catchUp(g, r)
	g.Expect(r.changes).To(Equal([]journal.Offset{3}))
}

func TestRevertedLog(t *testing.T) {
	g := NewWithT(t)
	var log, empty journaltest.Log
	appendChanges(g, &log, 3)
	r := newReplica(&log)
	catchUp(g, r)
	r.Log = empty.Client()
	err := r.Step(t.Context())
	g.Expect(errors.Is(err, journal.ErrReverted)).To(BeTrue(), "%+v", err)
	g.Expect(r.changes).To(HaveLen(3))
	g.Expect(r.Status().Behind).To(BeTrue())
}
