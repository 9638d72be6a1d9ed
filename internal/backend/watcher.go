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
	// observers is how many entry instances ask one backend server.
	observers = 2
	// concurrentPolls bounds the polls that run at one time.
	concurrentPolls = 16
	// itemPrefix begins the keys of published observations.
	itemPrefix = "server/"
	// loadChange is the part by which a load has to change to be published early.
	loadChange = 0.25
)

// Options set up a Watcher.
type Options struct {
	Self     string
	Interval time.Duration
	Pool     *Pool
	// Servers returns the model workers of the data centre.
	Servers func() []fleet.BackendServer
	// Rank returns this instance's place among those that may observe a backend
	// server; 0 is the first.
	Rank func(server string) int
	// Placement returns the offset of the placement that was applied.
	Placement func() journal.Offset
	// OrderUncertain reports whether it matters when a backend server was asked, since
	// it may obey an order that is in doubt.
	OrderUncertain func(server string) bool
	// Publish passes an observation on to the other entry instances.
	Publish func(key string, value []byte)
	// Members returns the other entry instances with what they published.
	Members func() []member.Row
	// OnObservation is told of each new observation.
	OnObservation func(ctx context.Context, o Observation)
}

// Watcher keeps the newest observation of each model worker.
type Watcher struct {
	options Options

	mu        sync.Mutex
	newest    map[string]Observation
	published map[string]Observation
	versions  map[string]uint64 // of items taken from others, by observer and key
}

// NewWatcher returns a watcher that knows nothing yet.
func NewWatcher(options Options) *Watcher {
	return &Watcher{
		options:   options,
		newest:    make(map[string]Observation),
		published: make(map[string]Observation),
		versions:  make(map[string]uint64),
	}
}

// Run asks backend servers and takes in what others publish, until ctx ends.
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

// Reports returns the newest reports as package group takes them.
func (w *Watcher) Reports() group.Reports { return ReportsOf(w.Observations()) }

// ReportsOf returns the reports in the observations.
func ReportsOf(observations map[string]Observation) group.Reports {
	reports := make(group.Reports, len(observations))
	for name, o := range observations {
		reports[name] = o.Report
	}
	return reports
}

// downTime is how long a backend server counts as down without a new observation.
const downTime = 2 * time.Second

// MarkDown notes that no process, or another one, was found at the address of a
// backend server. It takes no work until it was observed anew.
func (w *Watcher) MarkDown(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o, known := w.newest[server]; known {
		o.At = time.Time{}
		o.DownUntil = time.Now().Add(downTime)
		w.newest[server] = o
	}
}

// NoteBootID takes in what a backend server told on a request, before the next poll.
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

// merge takes in what the other entry instances published. What a living observer
// published last stands until it publishes something else, so that an observation
// that does not change need not travel again.
func (w *Watcher) merge(ctx context.Context) {
	now := time.Now()
	standing := make(map[string]string) // observers by backend server
	silent := make(map[string]bool)
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
			silent[server] = silent[server] || err != nil || o.Silent
			if err == nil && !o.Silent && w.isNew(row, item) {
				w.store(ctx, o)
			}
			if row.Status == member.Alive {
				standing[server+" "+row.Name] = server
			}
		}
	}
	w.refresh(now, standing, silent)
}

// refresh keeps observations fresh whose observer is alive and has not published
// another one, as long as no observer finds the backend server silent.
func (w *Watcher) refresh(now time.Time, standing map[string]string, silent map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for server, o := range w.newest {
		_, stands := standing[server+" "+o.Observer]
		if stands && !silent[server] && !o.Silent && now.After(o.DownUntil) {
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

// poll asks the backend servers that this instance observes.
func (w *Watcher) poll(ctx context.Context) {
	servers := w.options.Servers()
	w.forget(servers)
	var polls errgroup.Group
	polls.SetLimit(concurrentPolls)
	for _, server := range servers {
		if w.options.Rank(server.Name) >= observers {
			w.withdraw(server.Name)
			continue
		}
		polls.Go(func() error {
			w.ask(ctx, server)
			return nil
		})
	}
	_ = polls.Wait()
}

func (w *Watcher) ask(ctx context.Context, server fleet.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, max(w.options.Interval, minPollTimeout))
	defer cancel()
	placement := w.options.Placement()
	state, err := w.options.Pool.Engine(server.Address).State(ctx)
	if err != nil {
		w.silent(server.Name)
		if errors.Is(err, syscall.ECONNREFUSED) {
			w.MarkDown(server.Name)
		}
		return
	}
	o := observed(server.Name, w.options.Self, state, placement, time.Now())
	w.store(ctx, o)
	w.publish(o)
}

// minPollTimeout is the shortest time a backend server has to answer.
const minPollTimeout = 500 * time.Millisecond

func (w *Watcher) silent(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.newest[server]
	o.Server, o.Silent = server, true
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

// publish passes an observation on when it says something new.
func (w *Watcher) publish(o Observation) {
	w.mu.Lock()
	last, known := w.published[o.Server]
	due := !known || differs(last, o) || o.Observed != last.Observed && w.options.OrderUncertain(o.Server)
	if due {
		w.published[o.Server] = o
	}
	w.mu.Unlock()
	if due {
		w.options.Publish(itemPrefix+o.Server, o.encode())
	}
}

// withdraw takes back what was published of a backend server that others observe
// now.
func (w *Watcher) withdraw(server string) {
	w.mu.Lock()
	_, published := w.published[server]
	delete(w.published, server)
	w.mu.Unlock()
	if published {
		w.options.Publish(itemPrefix+server, nil)
	}
}

func differs(a, b Observation) bool {
	sameIdentity := a.BootID == b.BootID && a.Group == b.Group && a.Epoch == b.Epoch &&
		a.Loading == b.Loading && a.Cold == b.Cold && a.Leaving == b.Leaving && a.Silent == b.Silent
	if !sameIdentity {
		return true
	}
	change := float64(a.InFlight-b.InFlight) / float64(max(a.InFlight, b.InFlight, 4))
	return change > loadChange || change < -loadChange
}

// forget drops what is known of backend servers that the fleet no longer has.
func (w *Watcher) forget(servers []fleet.BackendServer) {
	known := make(map[string]bool, len(servers))
	for _, server := range servers {
		known[server.Name] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.newest {
		if !known[name] {
			delete(w.newest, name)
			delete(w.published, name)
		}
	}
}
