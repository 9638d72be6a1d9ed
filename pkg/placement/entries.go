package placement

func (s State) entryJoin(c *change, b EntryJoin) State {
	c.require("Name", b.Name)
	c.require("BootID", b.BootID)
	old := s.entries[b.Name]
	c.presumes(old.Joined)
	if old.BootID == b.BootID && old.BootID != "" {
		c.refuse("BootID", "entry instance %q has already joined with boot ID %q", b.Name, b.BootID)
	}
	s = s.dropLeases(c, old.Process)
	s.entries = with(s.entries, b.Name, Entry{Process: b.Process, Address: b.Address, Joined: c.at})
	return s.newTable(c)
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
	c.presumes(s.entries[p.Name].Joined)
	s = s.dropLeases(c, p)
	s.entries = without(s.entries, p.Name)
	return s.newTable(c)
}

// newTable begins a new epoch of the share table.
func (s State) newTable(c *change) State {
	s.previous = s.table
	s.table = Table{Epoch: c.at, Members: sorted(s.entries)}
	return s
}

// dropLeases frees the duties of a process that no longer takes part.
func (s State) dropLeases(c *change, p Process) State {
	for duty, l := range s.leases {
		if l.Holder == p && p != (Process{}) {
			s.leases = with(s.leases, duty, Lease{Duty: duty, Fence: c.at})
		}
	}
	return s
}

func (s State) leaseGrant(c *change, b LeaseGrant) State {
	c.require("Duty", b.Duty)
	c.presumes(s.leases[b.Duty].Fence)
	if b.Duration <= 0 {
		c.refuse("Duration", "%s is not positive", b.Duration)
	}
	if !s.HasJoined(b.Holder) {
		c.refuse("Holder", "entry instance %q does not take part with boot ID %q", b.Holder.Name, b.Holder.BootID)
	}
	s.leases = with(s.leases, b.Duty, Lease{b.Duty, b.Holder, c.at, b.Duration})
	return s
}

func (s State) leaseRelease(c *change, b LeaseRelease) State {
	l := s.leases[b.Duty]
	if l.Holder != b.Holder || b.Holder == (Process{}) {
		c.refuse("Holder", "%q does not hold duty %q", b.Holder.Name, b.Duty)
	}
	c.presumes(l.Fence)
	s.leases = with(s.leases, b.Duty, Lease{Duty: b.Duty, Fence: c.at})
	return s
}
