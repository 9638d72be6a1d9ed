package backend

import (
	"context"
	"maps"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/member"
)

const (
	// observers is how many entry instances poll one backend server.
	observers = 2
	// concurrentPolls limits how many polls run at once.
	concurrentPolls = 16
	// itemPrefix is the prefix of the keys of published observations.
	itemPrefix = "server/"
	// minLoadChange is the relative change of the requests in flight above which an
	// observation is published again.
	minLoadChange = 0.25
)

// Options configure a Watcher.
type Options struct {
	Self     string
	Interval time.Duration
	Pool     *Pool
	// Servers returns the model workers of the data centre.
	Servers func() []fleet.BackendServer
	// Rank returns this instance's position among the possible observers of a backend
	// server, counted from 0.
	Rank func(server string) int
	// Placement returns the log offset of the newest placement applied here.
	Placement func() journal.Offset
	// OrderUncertain reports whether an order to the backend server has an unknown outcome.
	// Then each observation after a new placement is published, also if it is unchanged.
	OrderUncertain func(server string) bool
	// Publish sends an observation to the other entry instances. A nil value withdraws
	// it.
	Publish func(key string, value []byte)
	// Members returns the entry instances with the items that they published.
	Members func() []member.Row
	// OnObservation is called with each new observation; may be nil.
	OnObservation func(ctx context.Context, o Observation)
}

// Watcher keeps the newest observation of each model worker of the data centre.
type Watcher struct {
	options Options

	mu        sync.Mutex
	newest    map[string]Observation
	published map[string]Observation
	versions  map[string]uint64 // of the items received from other instances, by observer and key
}

// NewWatcher returns a Watcher without observations.
func NewWatcher(options Options) *Watcher {
	return &Watcher{
		options:   options,
		newest:    make(map[string]Observation),
		published: make(map[string]Observation),
		versions:  make(map[string]uint64),
	}
}

// Run polls backend servers and merges what other instances publish, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for {
		w.merge(ctx)
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Observations returns the newest observation of each backend server.
func (w *Watcher) Observations() map[string]Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.newest)
}

// Reports returns the newest report of each backend server.
func (w *Watcher) Reports() group.Reports { return ReportsOf(w.Observations()) }

// ReportsOf returns the reports in the observations.
func ReportsOf(observations map[string]Observation) group.Reports {
	reports := make(group.Reports, len(observations))
	for name, o := range observations {
		reports[name] = o.Report
	}
	return reports
}

// markDownTimeout is how long a backend server that was marked down counts as down if no
// new observation arrives.
const markDownTimeout = 2 * time.Second

// MarkDown records that no process, or another one, answered at the address of a backend
// server. The server gets no requests until a new observation arrives or, after
// markDownTimeout, that of another observer counts as current again.
func (w *Watcher) MarkDown(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o, known := w.newest[server]; known {
		o.At = time.Time{}
		o.DownUntil = time.Now().Add(markDownTimeout)
		w.newest[server] = o
	}
}

// NoteBootID records the boot ID that a backend server stated in an answer to a request. If it
// differs from that of the newest observation, the server counts as loading and without a
// group until the next observation.
func (w *Watcher) NoteBootID(server, bootID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, known := w.newest[server]
	if known && o.BootID != bootID {
		o.BootID = bootID
		o.Group, o.Epoch, o.Loading = "", 0, true
		w.newest[server] = o
	}
}

// merge stores the observations that other entry instances published. The last one of an
// observer that is alive stays current until the observer publishes another, so that an
// unchanged observation need not be published again.
func (w *Watcher) merge(ctx context.Context) {
	now := time.Now()
	aliveObservers := make(map[string]string) // backend servers by "server observer"
	unreachable := make(map[string]bool)
	for _, row := range w.options.Members() {
		if row.Name == w.options.Self {
			continue
		}
		for _, item := range row.Items {
			server, ok := strings.CutPrefix(item.Key, itemPrefix)
			if !ok || len(item.Value) == 0 {
				continue
			}
			o, err := decodeObservation(server, row.Name, item.Value, now)
			unreachable[server] = unreachable[server] || err != nil || o.Unreachable
			if err == nil && !o.Unreachable && w.isNew(row, item) {
				w.store(ctx, o)
			}
			if row.Status == member.Alive {
				aliveObservers[server+" "+row.Name] = server
			}
		}
	}
	w.refresh(now, aliveObservers, unreachable)
}

// refresh sets the time of the observations whose observer is alive and still publishes
// an observation of the backend server. It leaves out a server that an observer could not
// reach.
func (w *Watcher) refresh(now time.Time, aliveObservers map[string]string, unreachable map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for server, o := range w.newest {
		_, observerAlive := aliveObservers[server+" "+o.Observer]
		if observerAlive && !unreachable[server] && !o.Unreachable && now.After(o.DownUntil) {
			o.At = now
			w.newest[server] = o
		}
	}
}

func (w *Watcher) isNew(row member.Row, item member.Item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := row.Name + " " + item.Key
	if w.versions[key] == item.Version {
		return false
	}
	w.versions[key] = item.Version
	return true
}

// poll polls the backend servers that this instance observes.
func (w *Watcher) poll(ctx context.Context) {
	servers := w.options.Servers()
	w.removeUnlisted(servers)
	var polls errgroup.Group
	polls.SetLimit(concurrentPolls)
	for _, server := range servers {
		if w.options.Rank(server.Name) >= observers {
			w.withdraw(server.Name)
			continue
		}
		polls.Go(func() error {
			w.pollServer(ctx, server)
			return nil
		})
	}
	_ = polls.Wait()
}

func (w *Watcher) pollServer(ctx context.Context, server fleet.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, max(w.options.Interval, minPollTimeout))
	defer cancel()
	placement := w.options.Placement()
	state, err := w.options.Pool.Engine(server.Address).State(ctx)
	if err != nil {
		w.markUnreachable(server.Name)
		if errors.Is(err, syscall.ECONNREFUSED) {
			w.MarkDown(server.Name)
		}
		return
	}
	o := newObservation(server.Name, w.options.Self, state, placement, time.Now())
	w.store(ctx, o)
	w.publish(o)
}

// minPollTimeout is the shortest timeout of a poll, for short intervals.
const minPollTimeout = 500 * time.Millisecond

func (w *Watcher) markUnreachable(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.newest[server]
	o.Server, o.Unreachable = server, true
	w.newest[server] = o
	go w.publish(o)
}

func (w *Watcher) store(ctx context.Context, o Observation) {
	w.mu.Lock()
	w.newest[o.Server] = o
	w.mu.Unlock()
	if w.options.OnObservation != nil {
		w.options.OnObservation(ctx, o)
	}
}

// publish publishes an observation that differs from the last published one, or has a
// newer placement offset while an order to the server has an unknown outcome.
func (w *Watcher) publish(o Observation) {
	w.mu.Lock()
	lastPublished, known := w.published[o.Server]
	due := !known || changed(lastPublished, o) || o.Observed != lastPublished.Observed && w.options.OrderUncertain(o.Server)
	if due {
		w.published[o.Server] = o
	}
	w.mu.Unlock()
	if due {
		w.options.Publish(itemPrefix+o.Server, o.encode())
	}
}

// withdraw withdraws the published observation of a backend server that this instance no
// longer observes.
func (w *Watcher) withdraw(server string) {
	w.mu.Lock()
	_, published := w.published[server]
	delete(w.published, server)
	w.mu.Unlock()
	if published {
		w.options.Publish(itemPrefix+server, nil)
	}
}

func changed(a, b Observation) bool {
	sameIdentity := a.BootID == b.BootID && a.Group == b.Group && a.Epoch == b.Epoch &&
		a.Loading == b.Loading && a.Cold == b.Cold && a.Leaving == b.Leaving && a.Unreachable == b.Unreachable
	if !sameIdentity {
		return true
	}
	change := float64(a.InFlight-b.InFlight) / float64(max(a.InFlight, b.InFlight, 4))
	return change > minLoadChange || change < -minLoadChange
}

// removeUnlisted removes the observations of backend servers that are no longer in the
// fleet.
func (w *Watcher) removeUnlisted(servers []fleet.BackendServer) {
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.Name] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.newest {
		if !listed[name] {
			delete(w.newest, name)
			delete(w.published, name)
		}
	}
}
