package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/fake/groupworker"
	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

// Sizes of a series.
const (
	seriesInstances     = 9
	seriesClients       = 8 // of each instance
	seriesModelSize     = 3
	seriesModelWorkers  = 36
	seriesPlainWorkers  = 3
	seriesContact       = 3 * time.Second
	seriesGrace         = 8 * time.Second
	seriesConfigDelay   = 2 * time.Second
	seriesRetryWindow   = 10 * time.Second
	seriesRetryRatio    = 0.2
	seriesRetrySlack    = 134
	seriesUsualTimeout  = 4 * time.Second
	seriesReadyTimeout  = 30 * time.Second
	seriesLossSlack     = 200 * time.Millisecond
	seriesClientTimeout = 6 * time.Second
)

// series is a run of disturbances in a deployment of real processes.
type series struct {
	t         *testing.T
	g         *WithT
	random    *rand.Rand
	dir       string
	program   string
	store     *metastore.Store
	fleet     *groupworker.Fleet
	storeAddr string
	network   string
	port      int
	started   time.Time
	// harmedShare is the share of the groups that a fault of workers concerns.
	harmedShare float64
	kinds       []int // of disturbances, each as often as it is drawn
	minInterval time.Duration
	calm        time.Duration // before the first disturbance
	minPeriod   time.Duration // between two requests of a client
	restoring   sync.Mutex    // held while the store is taken away and restored
	clients     int           // of each instance
	routes      []string      // of requests, each as often as it is drawn
	instances   []*seriesInstance
	stopping    atomic.Bool

	mu      sync.Mutex
	record  seriesRecord
	limited map[string]bool // workers that name a limit
	// configData is the last configuration that was sent.
	configData []byte
	config     seriesConfig
	configs    []sentConfig
}

// sentConfig is the timeouts of a configuration, by route, and when it was sent.
type sentConfig struct {
	at       time.Duration
	timeouts map[string]time.Duration
}

// Kinds of disturbances.
const (
	hangUp = iota
	restartOne
	restartSome
	changeConfig
	flickerRoute
	stormConfigs
	silenceSome
	silenceAll
	harmWorkers
	harmAndRestartAll
	limitWorkers
	restoreStore
)

// seriesInstance is an entry instance, over the restarts of its process.
type seriesInstance struct {
	number         int
	address, ready string
	settings, log  string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	restarting     sync.Mutex // held during a stop and the start that follows
}

// seriesConfig is the part of the configuration that changes.
type seriesConfig struct {
	version    int
	timeout    time.Duration
	noSpare    bool // the spare route is removed
	noDraft    bool // the route of streams is removed
	extraKey   bool
	bulkRoutes int
}

const seriesSettings = `node: "entry-%d"
zone: "zone-a"
zones:
  zone-a: "area"
ip: "%s"
listen:
  front: "%s"
  ready: "%s"
port-range: [%d, %d]
limits:
  cpu-share: 0.4
  cores: 1
  memory-mb: 284
  max-fds: 4100
  link-mbps: 1000.0
heartbeat-ms: 1200
bounds:
  contact-ms: 3000
  drain-ms: 2000
  grace-s: %v
  loss-slack-ms: %d
  config-ms: %d
  revoke-ms: 5000
  retry-ratio: %v
  retry-window-s: %v
  retry-slack: %v
  stall-ms: 6000
  ceiling-window-s: 5
platform:
  address: "%s"
  form: "log"
`

// newSeries starts the store, the workers and the instances.
func newSeries(t *testing.T, seed uint64) *series {
	built, err := buildPrograms()
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	pid := os.Getpid()
	s := &series{
		t: t, g: g, random: rand.New(rand.NewPCG(seed, 0)), dir: *seriesLogs, program: built["chicorystall"], store: metastore.New(),
		network: fmt.Sprintf("127.%d.%d", 30+pid/250%200, 1+pid%250), started: time.Now(), config: seriesConfig{timeout: seriesUsualTimeout}, limited: map[string]bool{},
	}
	if s.dir == "" {
		s.dir = t.TempDir()
	}
	const onlyPlannedWork, mostlyRestarts, restartsOfAll = 0, 3, 4
	mix := seed % 5
	s.calm, s.minPeriod = seriesRetryWindow/2, 400*time.Millisecond
	s.clients, s.routes = seriesClients, []string{"draft", "draft", "status", "order", "spare"}
	s.harmedShare = []float64{0, 0.3, 0.7, 0.9, 1}[mix]
	switch mix {
	case onlyPlannedWork:
		s.kinds = []int{hangUp, hangUp, restartOne, restartOne, restartSome, changeConfig, changeConfig, flickerRoute, stormConfigs, silenceSome, silenceAll}
	case mostlyRestarts:
		s.kinds = []int{restartOne, restartSome, restartSome, harmWorkers, harmWorkers, silenceAll, limitWorkers}
	case restartsOfAll:
		s.kinds, s.minInterval = []int{harmAndRestartAll}, 2*seriesRetryWindow
		s.clients, s.routes = 5*seriesClients/2, []string{"draft"}
		s.calm, s.minPeriod = seriesRetryWindow+2*time.Second, 900*time.Millisecond
	default:
		s.kinds = []int{hangUp, restartOne, restartSome, changeConfig, flickerRoute, stormConfigs, silenceSome, silenceAll, harmWorkers, harmWorkers, limitWorkers, limitWorkers, restoreStore}
	}
	s.record.bounds = seriesBounds{
		contact: seriesContact, grace: seriesGrace, lossSlack: seriesLossSlack, retryWindow: seriesRetryWindow, retryRatio: seriesRetryRatio, retrySlack: seriesRetrySlack,
	}
	s.fleet = groupworker.NewFleet(s.store, groupworker.Times{
		Load: 400 * time.Millisecond, Warm: 200 * time.Millisecond, Hot: 200 * time.Millisecond, Form: 300 * time.Millisecond,
		Stall: 6 * time.Second, Event: 80 * time.Millisecond, Answer: 15 * time.Millisecond,
	}, map[string]int{"draft": seriesModelSize})
	s.fleet.Slots, s.fleet.OnArrival = 12, s.noteArrival
	t.Cleanup(s.fleet.Close)
	store := httptest.NewServer(s.store)
	t.Cleanup(store.Close)
	t.Cleanup(store.CloseClientConnections)
	s.storeAddr = store.Listener.Addr().String()
	s.putConfig()
	for n := range seriesModelWorkers {
		s.fleet.Add(fmt.Sprintf("m-%d", n), "pool", "zone-a", fmt.Sprintf("zone-a-d%d", n%3))
	}
	for n := range seriesPlainWorkers {
		s.fleet.Add(fmt.Sprintf("d-%d", n), "desk", "zone-a", "")
	}
	s.port = freePorts(g, s.network+".10")[0]
	for n := range seriesInstances {
		s.addInstance(n)
	}
	first, last := s.instances[:seriesInstances-1], s.instances[seriesInstances-1]
	last.restarting.Lock() // until it is added
	for _, i := range first {
		s.start(i)
	}
	for _, i := range first {
		g.Eventually(i.isReady, seriesReadyTimeout, 50*time.Millisecond).Should(BeTrue())
	}
	g.Eventually(func() int { return len(s.fleet.OpenHeads("draft")) }, seriesReadyTimeout, 50*time.Millisecond).Should(BeNumerically(">=", 6))
	return s
}

// freePorts returns ports that are free on an address.
func freePorts(g *WithT, ip string) (ports []int) {
	for range 2 {
		l, err := net.Listen("tcp4", ip+":0")
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

func (s *series) addInstance(n int) {
	ip := fmt.Sprintf("%s.%d", s.network, 10+n)
	ports := freePorts(s.g, ip)
	i := &seriesInstance{
		number: n, address: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(s.dir, fmt.Sprintf("entry-%d.yaml", n)), log: filepath.Join(s.dir, fmt.Sprintf("entry-%d.log", n)),
	}
	text := fmt.Sprintf(seriesSettings, n, ip, i.address, i.ready, s.port, s.port+1, seriesGrace.Seconds(), seriesLossSlack.Milliseconds(),
		seriesConfigDelay.Milliseconds(), seriesRetryRatio, seriesRetryWindow.Seconds(), seriesRetrySlack, s.storeAddr)
	s.g.Expect(os.WriteFile(i.settings, []byte(text), 0o600)).To(Succeed())
	s.t.Cleanup(func() {
		i.restarting.Lock()
		defer i.restarting.Unlock()
		if i.cmd != nil {
			_ = i.cmd.Process.Kill()
			<-i.exited
		}
		if s.t.Failed() {
			s.logOf(i)
		}
	})
	s.instances = append(s.instances, i)
}

// start starts the process of an instance.
func (s *series) start(i *seriesInstance) {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer log.Close()
	cmd, exited := exec.Command(s.program, "platform", "serve", "-settings", i.settings), make(chan struct{})
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	go func() {
		_ = cmd.Wait() // what clients see is judged, not the exit code
		close(exited)
	}()
}

// signal sends a signal to the process of an instance and returns a channel that is closed
// when the process has exited.
func (i *seriesInstance) signal(sig syscall.Signal) chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(sig) // fails only if the process has exited
	return i.exited
}

func (i *seriesInstance) isReady() bool {
	r, err := http.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// logOf logs the lines of an instance that name a request of a broken rule.
func (s *series) logOf(i *seriesInstance) {
	data, err := os.ReadFile(i.log)
	if err != nil {
		s.t.Log(err)
		return
	}
	verdict := strings.Join(s.record.judge().broken, "\n")
	for line := range strings.SplitSeq(string(data), "\n") {
		var fields struct{ Request string }
		if json.Unmarshal([]byte(line), &fields) == nil && fields.Request != "" && strings.Contains(verdict, " "+fields.Request+" ") {
			s.t.Logf("instance %d: %s", i.number, line)
		}
	}
}

func (s *series) since() time.Duration { return time.Since(s.started).Round(time.Millisecond) }

// note logs a disturbance.
func (s *series) note(format string, args ...any) {
	s.t.Logf("%8.3f  %s", s.since().Seconds(), fmt.Sprintf(format, args...))
}

func (s *series) noteArrival(a groupworker.Arrival) func(groupworker.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.record.arrivals)
	s.record.arrivals = append(s.record.arrivals, seriesArrival{request: a.Request, service: a.Service, worker: a.Worker, at: s.since(), ran: a.Ran})
	return func(o groupworker.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.arrivals[n].outcome, s.record.arrivals[n].ended = o, s.since()
	}
}

// putConfig sends the configuration with a new version.
func (s *series) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.config
	c.version++
	timeouts := map[string]time.Duration{"draft": 2 * c.timeout, "order": c.timeout, "status": c.timeout, "spare": c.timeout}
	s.configs = append(s.configs, sentConfig{at: s.since(), timeouts: timeouts})
	var routes []any
	add := func(name, kind, service string, timeout time.Duration) {
		r := map[string]any{
			"name": name, "host": "app.example", "path-prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout-ms": timeout.Milliseconds(), "slo-ms": 400, "priority": 1, "max-attempts": 2, "anonymous": false,
		}
		if kind == "streaming" {
			r["resumable"], r["gap-target-ms"], r["sticky"] = true, 250, true
		}
		routes = append(routes, r)
	}
	if !c.noDraft {
		add("draft", "streaming", "pool", timeouts["draft"])
	}
	add("order", "unsafe", "desk", timeouts["order"])
	add("status", "safe", "desk", timeouts["status"])
	add(fmt.Sprintf("version-%d", c.version), "safe", "desk", c.timeout)
	if !c.noSpare {
		add("spare", "safe", "desk", timeouts["spare"])
	}
	for n := range c.bulkRoutes {
		add(fmt.Sprintf("idle-%d-%d", c.version, n), "safe", "desk", time.Second)
	}
	keys := []string{"library-key"}
	if c.extraKey {
		keys = append(keys, "extra-key")
	}
	data, err := json.Marshal(map[string]any{
		"version": c.version, "routes": routes,
		"services": []any{
			map[string]any{"name": "pool", "health-path": "/health", "max-conns": 354, "protocol": "h1", "engine": map[string]any{
				"batch-slots": 12, "kv-capacity": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "read_per_s": 56100.0, "chunk": 2048,
				"report_lag_ms": 200, "loads-per-s": 20, "loads_at_once": 8, "form-ms": 300,
				"models": []any{map[string]any{"name": "draft", "size": seriesModelSize, "share": 1.0, "pace": 1.0, "load-s": 0.4, "warm-s": 0.2}},
			}},
			map[string]any{"name": "desk", "health-path": "/health", "max-conns": 110, "protocol": "h1"},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "library", "api-keys": keys, "priority": 1}},
	})
	if err != nil {
		panic(err) // can't happen, since the configuration holds plain values only
	}
	s.configData = data
	s.store.Put("keyed.op", "config", data)
}

// limit returns the time that a request had: the smallest of its own and the route's
// timeouts in the configurations that may have been in force.
func (s *series) limit(route string, own, sent, ended time.Duration) time.Duration {
	for n, c := range s.configs {
		replaced := n+1 < len(s.configs) && s.configs[n+1].at+seriesConfigDelay+time.Second < sent
		if !replaced && c.at <= ended {
			own = min(own, c.timeouts[route])
		}
	}
	return own
}

func (s *series) served(r *seriesRecord) (n int) {
	for _, q := range r.requests {
		if q.whole && q.status == http.StatusOK {
			n++
		}
	}
	return n
}
