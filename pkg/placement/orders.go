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
	if old, ok := s.claims[b.Server]; ok && s.enforces(guardSingleClaim) {
		c.refuse("Server", "the order to %q is claimed by %q at %d", b.Server, old.Claimant.Name, old.Offset)
	}
	if g.Ordered[b.Server] != 0 && s.enforces(guardSingleOrder) {
		c.refuse("Server", "the order to %q for epoch %d was confirmed", b.Server, g.Epoch)
	}
	if q, ok := s.quarantines[b.Server]; ok && s.enforces(guardQuarantine) {
		c.refuse("Server", "%q is in quarantine since %d: %s", b.Server, q.Offset, q.Reason)
	}
	s.claims = with(s.claims, b.Server, Claim{b.Server, b.Group, g.Epoch, b.Claimant, c.offset})
	return s
}

func (s State) orderRelease(c *change, b OrderRelease) State {
	claim, ok := s.claims[b.Server]
	if !ok || claim.Claimant != b.Claimant {
		c.refuse("Claimant", "%q does not hold the claim of the order to %q", b.Claimant.Name, b.Server)
		return s
	}
	c.checkPresumes(claim.Offset)
	s.claims = without(s.claims, b.Server)
	switch b.Outcome {
	case OutcomeApplied:
		return s.confirmOrder(c, claim)
	case OutcomeNotSent:
		return s
	case OutcomeUnknown:
		return s.quarantineOrder(c, claim, b.BootID, "the order's outcome is unknown")
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
	c.checkPresumes(claim.Offset)
	if s.HasJoined(claim.Claimant) && s.enforces(guardTakeover) {
		c.refuse("Server", "%q holds the claim of the order to %q and takes part", claim.Claimant.Name, b.Server)
	}
	s.claims = without(s.claims, b.Server)
	return s.quarantineOrder(c, claim, "", "the claimant of its order is gone")
}

// confirmOrder records that the backend server applied the claimed order, if the
// group is still at the order's epoch.
func (s State) confirmOrder(c *change, claim Claim) State {
	g, ok := s.groups[claim.Group]
	if !ok || g.Epoch != claim.Epoch {
		return s
	}
	g.Ordered = with(g.Ordered, claim.Server, c.offset)
	s.groups = with(s.groups, g.Name, g)
	return s
}

// quarantineOrder quarantines the backend server of an order that it may still
// apply.
func (s State) quarantineOrder(c *change, claim Claim, bootID, reason string) State {
	if !s.enforces(guardUnknownOutcome) {
		return s
	}
	s.quarantines = with(s.quarantines, claim.Server, Quarantine{claim.Server, bootID, claim.Epoch, reason, c.offset})
	return s
}

func (s State) setQuarantine(c *change, b SetQuarantine) State {
	c.requireNonEmpty("Server", b.Server)
	q, ok := s.quarantines[b.Server]
	c.checkPresumes(q.Offset)
	if ok && q.BootID != "" {
		c.refuse("Server", "%q is in quarantine with boot ID %q", b.Server, q.BootID)
	}
	s.checkObserved(c, b.Observed, q)
	if !ok {
		q = Quarantine{Server: b.Server, Reason: b.Reason}
	}
	q.BootID = b.BootID
	q.Offset = c.offset
	s.quarantines = with(s.quarantines, b.Server, q)
	return s
}

// checkObserved refuses the record if its observation may be older than the
// quarantine.
func (s State) checkObserved(c *change, observed journal.Offset, q Quarantine) {
	if observed < q.Offset && s.enforces(guardObservation) {
		c.refuse("Observed", "the server was asked at %d, before its quarantine at %d", observed, q.Offset)
	}
}

func (s State) unquarantine(c *change, b Unquarantine) State {
	q, ok := s.quarantines[b.Server]
	if !ok {
		c.refuse("Server", "%q is not in quarantine", b.Server)
		return s
	}
	c.checkPresumes(q.Offset)
	applied := q.Epoch != 0 && b.Epoch == q.Epoch
	restarted := q.BootID != "" && b.BootID != "" && b.BootID != q.BootID
	if restarted && !applied {
		s.checkObserved(c, b.Observed, q)
	}
	if !restarted && !applied {
		c.refuse("Server", "%q reports neither a new boot ID nor epoch %d", b.Server, q.Epoch)
	}
	s.quarantines = without(s.quarantines, b.Server)
	if applied {
		return s.confirmOrder(c, Claim{Server: b.Server, Group: s.memberOf[b.Server], Epoch: q.Epoch})
	}
	return s
}
