package ratelimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	maxAccounts = 4096 // servers whose limits are remembered; the target size has 840
	maxReports  = 256  // servers in the reports of an instance
)

// Table holds the accounts of the servers that name limits. It is not safe for concurrent
// use. The zero value has none.
type Table struct {
	// Random returns a random number in [0, 1). If it is nil, rand.Float64 is used.
	Random func() float64

	accounts map[string]*account
}

// Limit is the limit of a server as an instance knows it.
type Limit struct {
	PerSecond float64       // requests, of all instances together
	Age       time.Duration // since an answer last named it
	Part      float64       // requests per second that this instance may send of it
}

// Report is what an instance, or several, know of the limit of a server.
type Report struct {
	Server    string
	Run       int64 // of the server; 0 if not known
	PerSecond float64
	NamedAge  time.Duration // since an answer last named the limit
	FreeAge   time.Duration // since an answer last named none, if HasFree
	HasFree   bool
	Sent      float64 // requests that the instances sent to it, which decay with its horizon
	Demand    float64 // requests per second that they would send to it
	Instances int     // that the report is of
}

// Note records that an answer of a server, in its run, named a limit in requests per
// second. It reports whether the limit is new or another one than before.
func (t *Table) Note(now time.Time, server string, run int64, perSecond float64) bool {
	return t.note(now, server, run, perSecond, now)
}

func (t *Table) note(now time.Time, server string, run int64, perSecond float64, at time.Time) (isNews bool) {
	a := t.accounts[server]
	if a != nil && roster.IsLaterRun(a.run, run) {
		return false // an earlier run said so
	}
	if a == nil || roster.IsLaterRun(run, a.run) {
		if a = t.open(now, server); a == nil {
			return false
		}
	}
	a.run = max(a.run, run)
	if at.Before(a.namedAt) {
		return false
	}
	wasLimiting := a.limiting(now)
	isNews = !wasLimiting || a.perSecond != perSecond
	a.perSecond, a.namedAt = perSecond, at
	if !wasLimiting {
		a.admitsFrom = now
	}
	return isNews && a.limiting(now)
}

// open returns a new account of a server, or nil if there are too many.
func (t *Table) open(now time.Time, server string) *account {
	if t.accounts[server] == nil && len(t.accounts) >= maxAccounts {
		t.expire(now)
		if len(t.accounts) >= maxAccounts {
			return nil
		}
	}
	if t.accounts == nil {
		t.accounts = map[string]*account{}
	}
	a := &account{}
	t.accounts[server] = a
	return a
}

func (t *Table) expire(now time.Time) {
	for server, a := range t.accounts {
		if a.forgettable(now) {
			delete(t.accounts, server)
		}
	}
}

// NoteUnlimited records that an answer of a server, in its run, named no limit. It reports
// whether that ends one.
func (t *Table) NoteUnlimited(now time.Time, server string, run int64) bool {
	return t.noteUnlimited(now, server, run, now)
}

func (t *Table) noteUnlimited(now time.Time, server string, run int64, at time.Time) bool {
	a := t.accounts[server]
	if a == nil || roster.IsLaterRun(a.run, run) || at.Before(a.freeAt) {
		return false
	}
	wasLimiting := a.limiting(now)
	a.freeAt = at
	return wasLimiting && !a.limiting(now)
}

// Merge records a peer's reports, or those of a relay for several instances. They replace
// the last ones of that peer. It returns the servers whose limits are news.
func (t *Table) Merge(now time.Time, peer string, reports []Report) []string {
	for _, a := range t.accounts {
		delete(a.peers, peer)
	}
	var news []string
	for _, r := range reports {
		if t.note(now, r.Server, r.Run, r.PerSecond, now.Add(-r.NamedAge)) {
			news = append(news, r.Server)
		}
		if r.HasFree {
			t.noteUnlimited(now, r.Server, r.Run, now.Add(-r.FreeAge))
		}
		a := t.accounts[r.Server]
		if a == nil || roster.IsLaterRun(a.run, r.Run) {
			continue
		}
		if a.peers == nil {
			a.peers = map[string]peerReport{}
		}
		a.peers[peer] = peerReport{sent: r.Sent, demand: r.Demand, instances: r.Instances, receivedAt: now}
	}
	return news
}

// DropPeers forgets the reports of all peers, but not the limits that they told of.
func (t *Table) DropPeers() {
	for _, a := range t.accounts {
		clear(a.peers)
	}
}

// Reports returns what to tell the peers, the limits that were named last if there are
// more than maxReports.
func (t *Table) Reports(now time.Time) []Report {
	t.expire(now)
	var reports []Report
	for server, a := range t.accounts {
		r := Report{
			Server: server, Run: a.run, PerSecond: a.perSecond, NamedAge: now.Sub(a.namedAt),
			Sent: a.sent.value(now, a.horizon()), Demand: a.demand, Instances: 1,
		}
		if !a.freeAt.IsZero() {
			r.FreeAge, r.HasFree = now.Sub(a.freeAt), true
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.NamedAge, y.NamedAge), cmp.Compare(x.Server, y.Server))
	})
	return reports[:min(len(reports), maxReports)]
}

// Len returns the number of servers whose limits hold now.
func (t *Table) Len(now time.Time) int {
	n := 0
	for _, a := range t.accounts {
		if a.limiting(now) {
			n++
		}
	}
	return n
}

// limiting returns the account of a server whose limit holds now for its run, or nil.
func (t *Table) limiting(now time.Time, server string, run int64) *account {
	a := t.accounts[server]
	if a == nil || roster.IsLaterRun(run, a.run) || !a.limiting(now) {
		return nil
	}
	return a
}

// Limit returns the limit of a server's run, and false if it has none.
func (t *Table) Limit(now time.Time, server string, run int64, f Fleet) (Limit, bool) {
	a := t.limiting(now, server, run)
	if a == nil {
		return Limit{}, false
	}
	others := a.others(now, f)
	unheard := max(max(f.Instances, 1)-1-others.instances, 0)
	return Limit{PerSecond: a.rate(), Age: now.Sub(a.namedAt), Part: a.rate() * a.share(f, others, unheard)}, true
}

// SetDemand records how many requests per second this instance would send to a server.
func (t *Table) SetDemand(server string, perSecond float64) {
	if a := t.accounts[server]; a != nil {
		a.demand = perSecond
	}
}

// Admits reports whether this instance may send one more request to a server's run now.
// It is true for servers without a limit.
func (t *Table) Admits(now time.Time, server string, run int64, f Fleet) bool {
	a := t.limiting(now, server, run)
	random := t.Random
	if random == nil {
		random = rand.Float64
	}
	return a == nil || a.admits(now, f, random)
}

// Spend records that this instance sends a request to a server.
func (t *Table) Spend(now time.Time, server string) {
	if a := t.accounts[server]; a != nil && a.limiting(now) {
		a.sent = a.sent.plus(1, now, a.horizon())
		a.sentInSlot++
	}
}
