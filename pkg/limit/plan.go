package limit

import "slices"

// Version returns the newest version that the ledger has.
func (l *Ledger) Version() Version { return l.newest().version() }

func (l *Ledger) newest() plan {
	if len(l.plansInForce) == 0 {
		return plan{}
	}
	return l.plansInForce[len(l.plansInForce)-1]
}

// SetTable sets a new table. A table that is not newer has no effect.
func (l *Ledger) SetTable(t Table) Outbox {
	next := l.newest()
	if t.Epoch <= next.table.Epoch {
		return Outbox{}
	}
	next.table = t
	return l.addPlan(next)
}

// SetLimits sets new configured limits. Limits that are not newer have no effect.
func (l *Ledger) SetLimits(limits Limits) Outbox {
	next := l.newest()
	if limits.Version <= next.limits.Version {
		return Outbox{}
	}
	next.limits = limits
	return l.addPlan(next)
}

func (l *Ledger) addPlan(next plan) Outbox {
	l.init()
	previous := l.newest()
	if len(l.plansInForce) == 0 {
		l.plansInForce = append(l.plansInForce, plan{})
	}
	l.plansInForce = append(l.plansInForce, next)
	for _, members := range [][]Member{previous.table.Members, next.table.Members, next.table.Former} {
		for _, m := range members {
			l.awaited[m] = true
		}
	}
	delete(l.awaited, l.Self)
	l.recomputeShares()
	out := l.dropOldPlans()
	out.add(l.serveAllWaiting())
	return out
}

// MarkSettled records that a member has settled into a version.
func (l *Ledger) MarkSettled(m Member, v Version) Outbox {
	l.init()
	l.recordSettled(m, v)
	return l.dropOldPlans()
}

func (l *Ledger) recordSettled(m Member, v Version) {
	if v.isOlder(l.ownSettled) || slices.Contains(l.settled[m], v) {
		return
	}
	l.settled[m] = append(l.settled[m], v)
}

// settle records that this member has settled into the version, and drops older
// versions of other members.
func (l *Ledger) settle(v Version) {
	l.ownSettled = v
	l.ownSettledSeq = l.seq + 1
	for m, versions := range l.settled {
		l.settled[m] = slices.DeleteFunc(versions, func(s Version) bool { return s.isOlder(v) })
	}
}

// MarkGone records that the member's process has certainly ended, because the platform
// lists it as gone or a newer boot ID has replaced it.
func (l *Ledger) MarkGone(m Member) Outbox {
	l.init()
	if m == l.Self {
		return Outbox{}
	}
	l.gone[m] = true
	l.reclaimAllFrom(m)
	out := l.dropOldPlans()
	out.add(l.serveAllWaiting())
	return out
}

// reclaimAllFrom ends all loans to a member and drops its waiting requests.
func (l *Ledger) reclaimAllFrom(m Member) {
	for id := range l.lent {
		if id.Borrower == m {
			l.reclaimLoan(id)
		}
	}
	for _, a := range l.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool { return w.request.ID.Borrower == m })
	}
}

// Settled reports whether this member keeps to the newest table and limits, that is,
// whether its work in flight and its loans to others fit in its share of every backend
// server. Work in flight is reduced only by loans whose lenders have settled too,
// since the share of a lender that ends before it has settled covers nothing.
func (l *Ledger) Settled() bool {
	if len(l.plansInForce) == 0 {
		return false
	}
	v := l.Version()
	if l.ownSettled == v {
		return true
	}
	if !l.fitsShares(v) {
		return false
	}
	l.settle(v)
	return true
}

func (l *Ledger) fitsShares(v Version) bool {
	for _, a := range l.accounts {
		use := a.inFlight.Minus(l.coveredByLoans(a, v)).Positive()
		if !use.Plus(a.lent).FitsIn(a.share) {
			return false
		}
	}
	return true
}

// Activated reports whether only the newest table and limits are in force.
func (l *Ledger) Activated() bool {
	return len(l.plansInForce) == 1 && l.plansInForce[0].table.Epoch > 0
}

// UnsettledMembers returns the members that keep older plans in force.
func (l *Ledger) UnsettledMembers() []Member {
	if l.Activated() {
		return nil
	}
	var unsettled []Member
	for m := range l.awaited {
		if !l.hasSettled(m) {
			unsettled = append(unsettled, m)
		}
	}
	return unsettled
}

func (l *Ledger) hasSettled(m Member) bool {
	if l.gone[m] || !l.enabled(guardAwaitSettled) {
		return true
	}
	want := l.Version()
	if !l.enabled(guardExactVersion) {
		return slices.ContainsFunc(l.settled[m], func(v Version) bool { return !v.isOlder(want) })
	}
	return slices.Contains(l.settled[m], want)
}

// dropOldPlans drops all plans but the newest once this member and all awaited members
// have settled.
func (l *Ledger) dropOldPlans() Outbox {
	hasTable := l.newest().table.Epoch > 0
	if !hasTable || len(l.plansInForce) == 1 || !l.Settled() || len(l.UnsettledMembers()) > 0 {
		return Outbox{}
	}
	l.plansInForce = l.plansInForce[len(l.plansInForce)-1:]
	clear(l.awaited)
	l.recomputeShares()
	return l.serveAllWaiting()
}

// serveAllWaiting serves the waiting loan requests of every account.
func (l *Ledger) serveAllWaiting() Outbox {
	var out Outbox
	for _, k := range l.sortedAccountKeys() {
		out.add(l.serveWaiting(l.accounts[k]))
	}
	return out
}

func (l *Ledger) recomputeShares() {
	for _, a := range l.accounts {
		a.share = l.shareOf(a)
	}
}

// shareOf returns the smallest share among the tables in force, each with the newest
// limits. A member that still uses older limits does not exceed its share under raised
// limits, since shares never shrink when a limit grows, and a lowered limit applies to
// each member as soon as it receives it. So members have to wait for each other only
// when the table changes.
func (l *Ledger) shareOf(a *account) Amount {
	plans := l.plansInForce
	if !l.enabled(guardSmallestShare) && len(plans) > 0 {
		plans = plans[len(plans)-1:]
	}
	if len(plans) == 0 {
		return Amount{}
	}
	smallest := l.shareUnder(plans[0], a)
	for _, p := range plans[1:] {
		smallest = smallest.Min(l.shareUnder(p, a))
	}
	return smallest
}

// shareUnder returns the share at the plan's table. Tokens are split in blocks whose
// size depends on the limits. When the block size changes, a member's share can shrink
// while the limit grows, so the plan's own limits apply as well.
func (l *Ledger) shareUnder(p plan, a *account) Amount {
	limit := l.newest().limits.Backends[a.backend]
	rank, ok := p.table.Rank(a.backend, l.Self)
	if !ok {
		return Amount{}
	}
	n, block := len(p.table.Members), p.table.block()
	tokens := share(limit.Tokens, limit.blockTokens(block), n, rank)
	planLimit, known := p.limits.Backends[a.backend]
	if known && planLimit.blockTokens(block) != limit.blockTokens(block) {
		tokens = min(tokens, share(planLimit.Tokens, planLimit.blockTokens(block), n, rank))
	}
	return Amount{
		Requests: share(min(limit.InFlight, a.capacity(limit)), block, n, rank),
		Tokens:   tokens,
	}
}
