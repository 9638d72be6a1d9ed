package keeper

import (
	"context"
	"time"

	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/formation"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// grantTimeout is how long a keeper waits for a grant before it decides without one.
	// In an outage of the store, it waits as long for the list.
	grantTimeout = listTimeout
	// supersededTimeout replaces it for a keeper that has learned of another one, which
	// acts meanwhile. Late orders have been carried out by then.
	supersededTimeout = 15 * time.Second
	// grantRetryInterval is the time between two requests for a grant, answered or not.
	grantRetryInterval = 250 * time.Millisecond
	// grantRenewalInterval replaces it for a keeper that has gone on without a grant.
	grantRenewalInterval = 2 * time.Second
	// confirmTimeout is the timeout for the newest grant.
	confirmTimeout = 300 * time.Millisecond
)

// tenure is how a keeper came by the epochs that it uses. The zero value is that of
// a keeper that has just begun.
type tenure struct {
	grant       int64     // that the keeper's epochs derive from; 0 if it has none
	wantedSince time.Time // since when the keeper has had no grant; zero if it has one or hasn't requested one
	unguarded   bool      // it goes on without a grant
	requestedAt time.Time // when it last requested a grant
	superseded  bool      // another keeper has got a grant after this one's last
}

// openFrom returns the lowest epoch of groups that the keeper may open.
func (t tenure) openFrom() int64 { return formation.Term{Grant: t.grant}.Base() }

// RenewGrant makes the keeper request another grant, once no group is forming. Its caller
// knows that the store may have lost the record of the present one.
func (k *Keeper) RenewGrant() { k.grantOutdated.Store(true) }

// requestGrant requests a grant if the keeper has none. One that has gone on without
// does so only while no group is forming, since groups of the epochs before are given up.
func (k *Keeper) requestGrant(ctx context.Context) {
	if k.grants == nil {
		k.grants = make(chan func())
	}
	select {
	case apply := <-k.grants:
		k.applyResult(apply)
	default:
	}
	now, interval := time.Now(), grantRetryInterval
	if k.tenure.grant > 0 && len(k.forming) == 0 && k.grantOutdated.CompareAndSwap(true, false) {
		k.tenure = tenure{wantedSince: now}
	}
	if k.tenure.unguarded {
		interval = grantRenewalInterval
	}
	if k.Grant == nil || k.tenure.grant > 0 || now.Sub(k.tenure.requestedAt) < interval || k.tenure.unguarded && len(k.forming) > 0 {
		return
	}
	if k.tenure.wantedSince.IsZero() {
		k.tenure.wantedSince = k.termStart
		if k.tenure.superseded {
			k.tenure.wantedSince = now
		}
	}
	k.tenure.requestedAt = now
	began := k.termStart
	k.calls.Go(func() error {
		grant, err := k.Grant(ctx)
		apply := func() {
			if k.termStart != began {
				return // another keeper may have got a grant between the two terms
			}
			if err != nil {
				k.Log.Info("no grant", telemetry.Fields{"error": err.Error()})
				return
			}
			if grant <= k.tenure.grant {
				return
			}
			k.Log.Info("grant", telemetry.Fields{"number": grant, "ms": time.Since(now).Milliseconds()})
			k.tenure = tenure{grant: grant}
			k.grantOutdated.Store(false)
			k.epoch = max(k.epoch, k.tenure.openFrom())
		}
		select {
		case k.grants <- apply:
		case <-ctx.Done():
		}
		return nil
	})
}

// hasTerm reports whether the keeper has epochs above those that workers report. It
// gives up waiting for a grant after grantTimeout.
func (k *Keeper) hasTerm(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	var reported formation.Term
	for _, w := range k.workers {
		if w.server.Membership.State != roster.Alone {
			reported = formation.TermOf(max(reported.Base(), w.server.Membership.Epoch))
		}
	}
	if k.tenure.grant > 0 && reported.Grant > k.tenure.grant {
		k.loseGrant()
	}
	timeout := grantTimeout
	if k.tenure.superseded {
		timeout = supersededTimeout
	}
	switch {
	case k.tenure.grant > 0:
		return true
	case k.Grant != nil && !k.tenure.unguarded && (k.tenure.wantedSince.IsZero() || now.Sub(k.tenure.wantedSince) < timeout):
		return false
	case !k.tenure.unguarded:
		k.tenure.unguarded = true
		k.epoch = formation.TermOf(max(reported.Base(), k.epoch)).Successor().Base()
	case formation.TermOf(k.epoch).Before(reported):
		k.epoch = reported.Successor().Base()
	}
	return true
}

// loseGrant ends the use of a grant after which another keeper has got one.
func (k *Keeper) loseGrant() {
	k.tenure, k.rivalSeenAt = tenure{superseded: true}, time.Now()
}

// surpass makes the keeper use epochs above a term that was found to be too low.
func (k *Keeper) surpass(t formation.Term) {
	switch {
	case k.tenure.unguarded || k.Grant == nil:
		k.epoch = max(k.epoch, t.Raised().Base())
	case k.tenure.grant > 0 && t.Grant >= k.tenure.grant:
		k.loseGrant()
	}
}

// confirmation says whether a keeper may open groups.
type confirmation int

const (
	confirmed    confirmation = iota // its grant is the newest, or nothing speaks against that
	unconfirmed                      // the store doesn't answer, and another keeper has acted lately
	contradicted                     // another keeper has got a grant after this one
)

// confirmGrant starts to ask the store whether the keeper's grant is the newest. The
// function that it returns waits for the answer.
func (k *Keeper) confirmGrant(ctx context.Context) func() confirmation {
	grant, rivalSeen := k.tenure.grant, !k.rivalSeenAt.IsZero() && time.Since(k.rivalSeenAt) < supersededTimeout
	if grant == 0 || k.NewestGrant == nil {
		return func() confirmation { return confirmed }
	}
	result, done := confirmed, make(chan struct{})
	k.calls.Go(func() error {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		newest, err := k.NewestGrant(ctx)
		switch {
		case err != nil && rivalSeen:
			result = unconfirmed
		case err == nil && newest != grant:
			result = contradicted
		}
		return nil
	})
	return func() confirmation { <-done; return result }
}
