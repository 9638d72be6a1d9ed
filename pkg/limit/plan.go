package limit

import "slices"

// Version returns the newest version that the ledger follows.
func (l *Ledger) Version() Version { return l.newest().version() }

func (l *Ledger) newest() plan {
	if len(l.binding) == 0 {
		return plan{}
	}
	return l.binding[len(l.binding)-1]
}

// SetTable follows a new table. An older one has no effect.
func (l *Ledger) SetTable(t Table) Outbox {
	next := l.newest()
	if t.Epoch <= next.table.Epoch {
		return Outbox{}
	}
	next.table = t
	return l.follow(next)
}

// SetLimits follows new configured limits. Older ones have no effect.
func (l *Ledger) SetLimits(limits Limits) Outbox {
	next := l.newest()
	if limits.Version <= next.limits.Version {
		return Outbox{}
	}
	next.limits = limits
	return l.follow(next)
}

func (l *Ledger) follow(next plan) Outbox {
	l.init()
	previous := l.newest()
	if len(l.binding) == 0 {
		l.binding = append(l.binding, plan{})
	}
	l.binding = append(l.binding, next)
	for _, members := range [][]Member{previous.table.Members, next.table.Members, next.table.Former} {
		for _, m := range members {
			l.awaited[m] = true
		}
	}
	delete(l.awaited, l.Self)
	l.reckon()
	out := l.progress()
	out.add(l.serveAll())
	return out
}

// MarkSettled notes that a member has settled into a version.
func (l *Ledger) MarkSettled(m Member, v Version) Outbox {
	l.init()
	l.noteSettled(m, v)
	return l.progress()
}

func (l *Ledger) noteSettled(m Member, v Version) {
	if v.older(l.own) || slices.Contains(l.settled[m], v) {
		return
	}
	l.settled[m] = append(l.settled[m], v)
}

// settle moves on to the version and forgets older ones of others.
func (l *Ledger) settle(v Version) {
	l.own = v
	l.changed = l.seq + 1
	for m, versions := range l.settled {
		l.settled[m] = slices.DeleteFunc(versions, func(s Version) bool { return s.older(v) })
	}
}

// MarkGone notes that the member's process has certainly ended: the platform
// lists it as gone, or a newer boot ID has replaced it.
func (l *Ledger) MarkGone(m Member) Outbox {
	l.init()
	if m == l.Self {
		return Outbox{}
	}
	l.gone[m] = true
	l.takeBack(m)
	out := l.progress()
	out.add(l.serveAll())
	return out
}

// takeBack ends all loans to a member.
func (l *Ledger) takeBack(m Member) {
	for id := range l.lent {
		if id.Borrower == m {
			l.endLent(id)
		}
	}
	for _, a := range l.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.request.ID.Borrower == m })
	}
}

// Settled reports whether this member keeps to the newest table and limits: on
// every backend server what it has in flight and lent fits in the share. Only
// loans of lenders that have settled too are taken off what is in flight, since
// the share of one that ends before it has settled covers nothing.
func (l *Ledger) Settled() bool {
	if len(l.binding) == 0 {
		return false
	}
	v := l.Version()
	if l.own == v {
		return true
	}
	if !l.fits(v) {
		return false
	}
	l.settle(v)
	return true
}

func (l *Ledger) fits(v Version) bool {
	for _, a := range l.accounts {
		use := a.inFlight.Minus(l.covered(a, v)).Positive()
		if !use.Plus(a.lent).FitsIn(a.share) {
			return false
		}
	}
	return true
}

// Activated reports whether only the newest table and limits bind.
func (l *Ledger) Activated() bool {
	return len(l.binding) == 1 && l.binding[0].table.Epoch > 0
}

// Awaited returns the members that keep the older tables binding.
func (l *Ledger) Awaited() []Member {
	if l.Activated() {
		return nil
	}
	var waiting []Member
	for m := range l.awaited {
		if !l.hasSettled(m) {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

func (l *Ledger) hasSettled(m Member) bool {
	if l.gone[m] || !l.on(guardSettle) {
		return true
	}
	want := l.Version()
	if !l.on(guardExact) {
		return slices.ContainsFunc(l.settled[m], func(v Version) bool { return !v.older(want) })
	}
	return slices.Contains(l.settled[m], want)
}

// progress drops the older plans once it may.
func (l *Ledger) progress() Outbox {
	hasTable := l.newest().table.Epoch > 0
	if !hasTable || len(l.binding) == 1 || !l.Settled() || len(l.Awaited()) > 0 {
		return Outbox{}
	}
	l.binding = l.binding[len(l.binding)-1:]
	clear(l.awaited)
	l.reckon()
	return l.serveAll()
}

// serveAll serves what waits for loans at every account.
func (l *Ledger) serveAll() Outbox {
	var out Outbox
	for _, k := range l.sortedKeys() {
		out.add(l.serveWaiting(l.accounts[k]))
	}
	return out
}

// reckon recomputes the share of every account.
func (l *Ledger) reckon() {
	for _, a := range l.accounts {
		a.share = l.shareOf(a)
	}
}

// shareOf returns the smallest share among the tables that bind, each with the
// newest limits. A member that still follows other limits has, at any table, no
// more than it had: shares never shrink when a limit grows, and a lowered limit
// binds whoever has heard of it at once. So only a new table has to be waited for.
func (l *Ledger) shareOf(a *account) Amount {
	plans := l.binding
	if !l.on(guardMinimum) && len(plans) > 0 {
		plans = plans[len(plans)-1:]
	}
	if len(plans) == 0 {
		return Amount{}
	}
	smallest := l.shareIn(plans[0], a)
	for _, p := range plans[1:] {
		smallest = smallest.Min(l.shareIn(p, a))
	}
	return smallest
}

// shareIn returns the share at the plan's table. Tokens are split in blocks whose
// size depends on the limits: where it changes, a member's share can shrink while
// the limit grows, so that the plan's own limits bind too.
func (l *Ledger) shareIn(p plan, a *account) Amount {
	limit := l.newest().limits.Backends[a.backend]
	rank, ok := p.table.Rank(a.backend, l.Self)
	if !ok {
		return Amount{}
	}
	n, block := len(p.table.Members), p.table.block()
	tokens := share(limit.Tokens, limit.blockTokens(block), n, rank)
	before, known := p.limits.Backends[a.backend]
	if known && before.blockTokens(block) != limit.blockTokens(block) {
		tokens = min(tokens, share(before.Tokens, before.blockTokens(block), n, rank))
	}
	return Amount{
		Requests: share(min(limit.InFlight, a.bears(limit)), block, n, rank),
		Tokens:   tokens,
	}
}
