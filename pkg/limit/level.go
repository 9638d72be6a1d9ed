package limit

// level is a member's reading of how much one life of a backend server bears.
type level struct {
	coldEpoch int64
	value     int   // 0 until the first growth
	warm      bool  // the backend server reports that it is warm
	cold      bool  // the backend server reports that it is cold: the level stays
	completed int64 // requests that this member saw complete at the present value
	byPeer    map[Member]int64
	changed   int64 // sequence number of the last change
}

// bears returns how many requests the backend server bears.
func (a *account) bears(limit Limit) int {
	if a.level.warm {
		return limit.InFlight
	}
	return max(a.level.value, limit.cold())
}

func (lv *level) total() int64 {
	sum := lv.completed
	for _, n := range lv.byPeer {
		sum += n
	}
	return sum
}

// rise starts to count anew, so that a level is only left by completions at it.
func (lv *level) rise(value int) {
	lv.value = value
	lv.completed = 0
	clear(lv.byPeer)
}

// Level returns how many requests the backend server bears by this member's
// reading, whatever part of them is its own.
func (l *Ledger) Level(backend string) int {
	limit := l.newest().limits.Backends[backend]
	a := l.account(key{backend, l.current[backend]})
	return min(a.bears(limit), limit.InFlight)
}

// MarkWarm notes that the backend server itself reported that it is warm.
func (l *Ledger) MarkWarm(backend, boot string) Outbox {
	a := l.account(key{backend, boot})
	if a.level.warm {
		return Outbox{}
	}
	a.level.warm, a.level.cold = true, false
	l.changedLevel(a)
	return l.serveWaiting(a)
}

// MarkReportedCold notes that the backend server itself reports that it is cold.
// Until it reports that it is warm, its level does not grow: a completed request
// shows that it bears what it has, not that it bears more. After it was warm, this
// is the news of MarkCold.
func (l *Ledger) MarkReportedCold(backend, boot string) {
	a := l.account(key{backend, boot})
	if a.level.warm {
		l.MarkCold(backend, boot)
	}
	a.level.cold = true
}

// MarkCold notes that the backend server turned cold without a new boot ID, by
// its own report, its latency or an overflow. Until the news has reached a
// member, that member keeps its old share, so for one heartbeat and one message
// delay the backend server can hold as much as its level was before.
func (l *Ledger) MarkCold(backend, boot string) {
	a := l.account(key{backend, boot})
	limit := l.newest().limits.Backends[backend]
	a.level = level{coldEpoch: a.level.coldEpoch + 1, value: limit.cold()}
	l.changedLevel(a)
}

func (l *Ledger) changedLevel(a *account) {
	a.level.changed = l.seq + 1
	a.share = l.shareOf(a)
}

// complete counts a completion and grows the level when this member ranks first.
func (l *Ledger) complete(a *account) {
	limit := l.newest().limits.Backends[a.backend]
	bears := a.bears(limit)
	if bears >= limit.InFlight {
		return
	}
	a.level.completed++
	a.level.changed = l.seq + 1
	l.grow(a, limit)
}

func (l *Ledger) grow(a *account, limit Limit) {
	bears := a.bears(limit)
	rank, ok := l.newest().table.Rank(a.backend, l.Self)
	observed := l.current[a.backend] == a.boot // else it may report that it is cold
	if !ok || rank != 0 || bears >= limit.InFlight || a.level.cold || !observed {
		return
	}
	if a.level.total() < int64(bears) {
		return
	}
	a.level.rise(min(2*bears, limit.InFlight))
	l.changedLevel(a)
}

// learn merges a peer's reading.
func (l *Ledger) learn(from Member, reading Level) *account {
	a := l.account(key{reading.Backend, reading.Boot})
	lv := &a.level
	if reading.ColdEpoch < lv.coldEpoch {
		return a
	}
	if reading.ColdEpoch > lv.coldEpoch {
		*lv = level{coldEpoch: reading.ColdEpoch}
		l.changedLevel(a)
	}
	if reading.Value > lv.value {
		lv.rise(reading.Value)
		l.changedLevel(a)
	}
	if reading.Value < lv.value {
		return a
	}
	if lv.byPeer == nil {
		lv.byPeer = make(map[Member]int64)
	}
	lv.byPeer[from] = max(lv.byPeer[from], reading.Completed)
	l.grow(a, l.newest().limits.Backends[a.backend])
	return a
}
