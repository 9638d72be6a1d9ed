package placement

func (s State) entryJoin(c *change, b EntryJoin) State {
	c.requireNonEmpty("Name", b.Name)
	c.requireNonEmpty("BootID", b.BootID)
	old := s.entries[b.Name]
	c.checkPresumes(old.Joined)
	if old.BootID == b.BootID && old.BootID != "" {
		c.refuse("BootID", "entry instance %q has already joined with boot ID %q", b.Name, b.BootID)
	}
	s = s.releaseLeases(c, old.Process)
	s.entries = with(s.entries, b.Name, Entry{Process: b.Process, Address: b.Address, Joined: c.offset})
	return s.advanceTable(c)
}

func (s State) entryLeave(c *change, p Process) State {
	for _, claim := range s.Claims() {
		if claim.Claimant == p {
			c.refuse("Name", "%q still holds the claim of the order to %q", p.Name, claim.Server)
		}
	}
	return s.removeEntry(c, p)
}

func (s State) entryGone(c *change, p Process) State { return s.removeEntry(c, p) }

func (s State) removeEntry(c *change, p Process) State {
	if !s.HasJoined(p) {
		c.refuse("BootID", "entry instance %q does not take part with boot ID %q", p.Name, p.BootID)
		return s
	}
	c.checkPresumes(s.entries[p.Name].Joined)
	s = s.releaseLeases(c, p)
	s.entries = without(s.entries, p.Name)
	return s.advanceTable(c)
}

// advanceTable begins a new epoch of the share table with the current entry
// instances.
func (s State) advanceTable(c *change) State {
	s.previous = s.table
	s.table = Table{Epoch: c.offset, Members: sorted(s.entries)}
	return s
}

// releaseLeases releases the leases of a process that was removed or replaced.
func (s State) releaseLeases(c *change, p Process) State {
	for duty, l := range s.leases {
		if l.Holder == p && p != (Process{}) {
			s.leases = with(s.leases, duty, Lease{Duty: duty, Fence: c.offset})
		}
	}
	return s
}

func (s State) leaseGrant(c *change, b LeaseGrant) State {
	c.requireNonEmpty("Duty", b.Duty)
	c.checkPresumes(s.leases[b.Duty].Fence)
	if b.Duration <= 0 {
		c.refuse("Duration", "%s is not positive", b.Duration)
	}
	if !s.HasJoined(b.Holder) {
		c.refuse("Holder", "entry instance %q does not take part with boot ID %q", b.Holder.Name, b.Holder.BootID)
	}
	s.leases = with(s.leases, b.Duty, Lease{b.Duty, b.Holder, c.offset, b.Duration})
	return s
}

func (s State) leaseRelease(c *change, b LeaseRelease) State {
	l := s.leases[b.Duty]
	if l.Holder != b.Holder || b.Holder == (Process{}) {
		c.refuse("Holder", "%q does not hold duty %q", b.Holder.Name, b.Duty)
	}
	c.checkPresumes(l.Fence)
	s.leases = with(s.leases, b.Duty, Lease{Duty: b.Duty, Fence: c.offset})
	return s
}
