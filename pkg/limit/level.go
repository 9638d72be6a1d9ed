package limit

// level is how many requests one boot of a backend server can take at one time, as
// known to this member.
type level struct {
	coldEpoch       int64
	value           int   // requests; 0 until the level first grows
	warm            bool  // the backend server reports that it is warm
	reportedCold    bool  // the backend server reports that it is cold, so the level does not grow
	completed       int64 // requests that this member saw complete at the current value
	completedByPeer map[Member]int64
	changedSeq      int64 // sequence number of the last change
}

// capacity returns how many requests the backend server can take at one time.
func (a *account) capacity(limit Limit) int {
	if a.level.warm {
		return limit.InFlight
	}
	return max(a.level.value, limit.cold())
}

func (lv *level) totalCompleted() int64 {
	sum := lv.completed
	for _, n := range lv.completedByPeer {
		sum += n
	}
	return sum
}

// setValue sets the value and resets the counts, so that only completions at the new
// value raise it further.
func (lv *level) setValue(value int) {
	lv.value = value
	lv.completed = 0
	clear(lv.completedByPeer)
}

// Level returns how many requests the backend server can take from all members
// together, as known to this member.
func (l *Ledger) Level(backend string) int {
	limit := l.newest().limits.Backends[backend]
	a := l.account(bootKey{backend, l.currentBoot[backend]})
	return min(a.capacity(limit), limit.InFlight)
}

// MarkWarm records that the backend server reported that it is warm.
func (l *Ledger) MarkWarm(backend, boot string) Outbox {
	a := l.account(bootKey{backend, boot})
	if a.level.warm {
		return Outbox{}
	}
	a.level.warm, a.level.reportedCold = true, false
	l.levelChanged(a)
	return l.serveWaiting(a)
}

// MarkReportedCold records that the backend server reported that it is cold. Until it
// reports that it is warm, its level does not grow: a completed request shows that it
// can take its current level, not that it can take more. If it was warm before,
// MarkReportedCold does what MarkCold does.
func (l *Ledger) MarkReportedCold(backend, boot string) {
	a := l.account(bootKey{backend, boot})
	if a.level.warm {
		l.MarkCold(backend, boot)
	}
	a.level.reportedCold = true
}

// MarkCold records that the backend server turned cold without a new boot ID, as shown
// by its own report, its latency or an overflow. A member keeps its old share until a
// statement with the change has reached it, so for one heartbeat and one message delay
// the backend server can hold as many requests as before.
func (l *Ledger) MarkCold(backend, boot string) {
	a := l.account(bootKey{backend, boot})
	limit := l.newest().limits.Backends[backend]
	a.level = level{coldEpoch: a.level.coldEpoch + 1, value: limit.cold()}
	l.levelChanged(a)
}

func (l *Ledger) levelChanged(a *account) {
	a.level.changedSeq = l.seq + 1
	a.share = l.shareOf(a)
}

// recordCompletion counts a completed request and raises the level if this member
// ranks first.
func (l *Ledger) recordCompletion(a *account) {
	limit := l.newest().limits.Backends[a.backend]
	capacity := a.capacity(limit)
	if capacity >= limit.InFlight {
		return
	}
	a.level.completed++
	a.level.changedSeq = l.seq + 1
	l.growIfDue(a, limit)
}

func (l *Ledger) growIfDue(a *account, limit Limit) {
	capacity := a.capacity(limit)
	rank, ok := l.newest().table.Rank(a.backend, l.Self)
	// Until this boot is observed, it is unknown whether the backend server reports that
	// it is cold.
	observed := l.currentBoot[a.backend] == a.boot
	if !ok || rank != 0 || capacity >= limit.InFlight || a.level.reportedCold || !observed {
		return
	}
	if a.level.totalCompleted() < int64(capacity) {
		return
	}
	a.level.setValue(min(2*capacity, limit.InFlight))
	l.levelChanged(a)
}

// mergeLevel merges the level that a peer sent.
func (l *Ledger) mergeLevel(from Member, received Level) *account {
	a := l.account(bootKey{received.Backend, received.Boot})
	lv := &a.level
	if received.ColdEpoch < lv.coldEpoch {
		return a
	}
	if received.ColdEpoch > lv.coldEpoch {
		*lv = level{coldEpoch: received.ColdEpoch}
		l.levelChanged(a)
	}
	if received.Value > lv.value {
		lv.setValue(received.Value)
		l.levelChanged(a)
	}
	if received.Value < lv.value {
		return a
	}
	if lv.completedByPeer == nil {
		lv.completedByPeer = make(map[Member]int64)
	}
	lv.completedByPeer[from] = max(lv.completedByPeer[from], received.Completed)
	l.growIfDue(a, l.newest().limits.Backends[a.backend])
	return a
}
