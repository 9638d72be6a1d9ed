package placement

import "github.com/chicorystall/chicorystall/pkg/journal"

func (s State) orderClaim(c *change, b OrderClaim) State {
	g, ok := s.checkGroup(c, b.Group)
	if !ok {
		return s
	}
	if s.memberOf[b.Server] != b.Group {
		c.refuse("Server", "%q is not a member of group %q", b.Server, b.Group)
	}
	if !s.HasJoined(b.Claimant) {
		c.refuse("Claimant", "entry instance %q does not take part with boot ID %q", b.Claimant.Name, b.Claimant.BootID)
	}
	if old, ok := s.claims[b.Server]; ok && s.on(guardSoleClaim) {
		c.refuse("Server", "the order to %q is claimed by %q at %d", b.Server, old.Claimant.Name, old.Offset)
	}
	if g.Ordered[b.Server] != 0 && s.on(guardOneOrder) {
		c.refuse("Server", "the order to %q for epoch %d was confirmed", b.Server, g.Epoch)
	}
	if q, ok := s.quarantines[b.Server]; ok && s.on(guardQuarantine) {
		c.refuse("Server", "%q is in quarantine since %d: %s", b.Server, q.Offset, q.Reason)
	}
	s.claims = with(s.claims, b.Server, Claim{b.Server, b.Group, g.Epoch, b.Claimant, c.at})
	return s
}

func (s State) orderRelease(c *change, b OrderRelease) State {
	claim, ok := s.claims[b.Server]
	if !ok || claim.Claimant != b.Claimant {
		c.refuse("Claimant", "%q does not hold the claim of the order to %q", b.Claimant.Name, b.Server)
		return s
	}
	c.presumes(claim.Offset)
	s.claims = without(s.claims, b.Server)
	switch b.Outcome {
	case OutcomeApplied:
		return s.ordered(c, claim)
	case OutcomeNotSent:
		return s
	case OutcomeUnknown:
		return s.doubt(c, claim, b.BootID, "the order's outcome is unknown")
	}
	c.refuse("Outcome", "outcome %d does not exist", b.Outcome)
	return s
}

func (s State) orderTakeover(c *change, b OrderTakeover) State {
	claim, ok := s.claims[b.Server]
	if !ok {
		c.refuse("Server", "no order to %q is claimed", b.Server)
		return s
	}
	c.presumes(claim.Offset)
	if s.HasJoined(claim.Claimant) && s.on(guardTakeover) {
		c.refuse("Server", "%q holds the claim of the order to %q and takes part", claim.Claimant.Name, b.Server)
	}
	s.claims = without(s.claims, b.Server)
	return s.doubt(c, claim, "", "the claimant of its order is gone")
}

// ordered notes that the claimed order was obeyed.
func (s State) ordered(c *change, claim Claim) State {
	g, ok := s.groups[claim.Group]
	if !ok || g.Epoch != claim.Epoch {
		return s
	}
	g.Ordered = with(g.Ordered, claim.Server, c.at)
	s.groups = with(s.groups, g.Name, g)
	return s
}

// doubt quarantines the backend server of an order that may still be obeyed.
func (s State) doubt(c *change, claim Claim, bootID, reason string) State {
	if !s.on(guardUnknownHeld) {
		return s
	}
	s.quarantines = with(s.quarantines, claim.Server, Quarantine{claim.Server, bootID, claim.Epoch, reason, c.at})
	return s
}

func (s State) setQuarantine(c *change, b SetQuarantine) State {
	c.require("Server", b.Server)
	q, ok := s.quarantines[b.Server]
	c.presumes(q.Offset)
	if ok && q.BootID != "" {
		c.refuse("Server", "%q is in quarantine with boot ID %q", b.Server, q.BootID)
	}
	s.checkObserved(c, b.Observed, q)
	if !ok {
		q = Quarantine{Server: b.Server, Reason: b.Reason}
	}
	q.BootID = b.BootID
	q.Offset = c.at
	s.quarantines = with(s.quarantines, b.Server, q)
	return s
}

// checkObserved refuses an observation that may be older than the quarantine.
func (s State) checkObserved(c *change, observed journal.Offset, q Quarantine) {
	if observed < q.Offset && s.on(guardObserved) {
		c.refuse("Observed", "the server was asked at %d, before its quarantine at %d", observed, q.Offset)
	}
}

func (s State) unquarantine(c *change, b Unquarantine) State {
	q, ok := s.quarantines[b.Server]
	if !ok {
		c.refuse("Server", "%q is not in quarantine", b.Server)
		return s
	}
	c.presumes(q.Offset)
	obeyed := q.Epoch != 0 && b.Epoch == q.Epoch
	restarted := q.BootID != "" && b.BootID != "" && b.BootID != q.BootID
	if restarted && !obeyed {
		s.checkObserved(c, b.Observed, q)
	}
	if !restarted && !obeyed {
		c.refuse("Server", "%q reports neither a new boot ID nor epoch %d", b.Server, q.Epoch)
	}
	s.quarantines = without(s.quarantines, b.Server)
	if obeyed {
		return s.ordered(c, Claim{Server: b.Server, Group: s.memberOf[b.Server], Epoch: q.Epoch})
	}
	return s
}
