package stand2

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

// Topics of the store.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

// Bounds of the site qurum-styling.
const (
	Contact   = 3 * time.Second
	Heartbeat = 1200 * time.Millisecond
)

// Deployment is a store, workers and entry instances on loopback addresses.
type Deployment struct {
	Store  *metastore.Store
	Record *Record

	dir       string
	storeAddr string
	server    *http.Server
	network   string // first three bytes of the addresses
	entries   []*Entry
	zones     []string
}

// Entry is an entry instance, run as a process of its own.
type Entry struct {
	Name, Zone, IP string
	Front, Ready   string

	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Record is a file of lines, each with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// NewDeployment starts a store in a network of loopback addresses. The folder is for
// settings and logs.
func NewDeployment(dir string, record *Record, zones ...string) (*Deployment, error) {
	d := &Deployment{
		Store: metastore.New(), Record: record, dir: dir, zones: zones,
		network: fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), rand.IntN(250)),
	}
	listener, err := net.Listen("tcp4", d.IP(250)+":0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = listener.Addr().String()
	d.server = &http.Server{Handler: d.Store}
	go d.server.Serve(listener)
	return d, nil
}

// IP returns an address of the deployment's network.
func (d *Deployment) IP(n int) string { return fmt.Sprintf("%s.%d", d.network, n) }

// PutConfig writes the operator's configuration.
func (d *Deployment) PutConfig(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	d.Store.Put(topicOperator, "config", data)
	d.Record.Add("operator: configuration of version %v is confirmed", config["version"])
	return nil
}

func freePort(network, ip string) (int, error) {
	if network == "udp4" {
		c, err := net.ListenPacket(network, ip+":0")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		return c.LocalAddr().(*net.UDPAddr).Port, nil
	}
	l, err := net.Listen(network, ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// StartEntries starts entry instances, one zone after the other, with the limits of a
// machine of the site.
func (d *Deployment) StartEntries(program string, n int) error {
	peerPort, err := freePort("udp4", d.IP(1))
	if err != nil {
		return err
	}
	front, err := freePort("tcp4", d.IP(1))
	if err != nil {
		return err
	}
	ready, err := freePort("tcp4", d.IP(1))
	if err != nil {
		return err
	}
	for i := range n {
		ip := d.IP(i + 1)
		e := &Entry{Name: fmt.Sprintf("entry-%d", i+1), Zone: d.zones[i%len(d.zones)], IP: ip, Front: fmt.Sprintf("%s:%d", ip, front), Ready: fmt.Sprintf("%s:%d", ip, ready)}
		e.settings = filepath.Join(d.dir, e.Name+".yaml")
		if err := os.WriteFile(e.settings, []byte(d.settings(e, peerPort)), 0o600); err != nil {
			return err
		}
		if e.log, err = os.Create(filepath.Join(d.dir, e.Name+".log")); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		if err := d.Start(e, program); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of an entry instance with the run line of the deploy file.
func (d *Deployment) Start(e *Entry, program string) error {
	e.cmd = exec.Command(program, "platform", "serve", "-metrics-port", "9108")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C.UTF-8", "CHICORYSTALL_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(e.cmd, e.exited)
	d.Record.Add("platform: %s started", e.Name)
	return nil
}

// Entries returns the entry instances.
func (d *Deployment) Entries() []*Entry { return d.entries }

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// PID returns the process's ID.
func (e *Entry) PID() int { return e.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (e *Entry) Running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// AwaitReady waits until all entry instances are ready.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, e := range d.entries {
		for {
			if r, err := client.Get("http://" + e.Ready + "/ready"); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s isn't ready", e.Name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close ends all processes and the store.
func (d *Deployment) Close() {
	for _, e := range d.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			e.Signal(syscall.SIGCONT)
			e.Signal(syscall.SIGKILL)
			<-e.exited
		}
		e.log.Close()
	}
	d.server.Close()
}

func (d *Deployment) settings(e *Entry, peerPort int) string {
	zones := ""
	for _, z := range d.zones {
		zones += fmt.Sprintf("  %s: \"muscat\"\n", z)
	}
	return fmt.Sprintf(`node: %q
role: "entry"
class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "muscat"
zones:
%slisten:
  front: %q
  ready: %q
port-range: [%d, %d]
seed-nodes: []
bootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
heartbeat-ms: 1200
bounds:
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-ms: 2000
  downgrade-ms: 250
  strict-revoke: true
  revoke-ms: 5000
  retry-ratio: 0.2
  retry-window-s: 10
  retry-slack: 134
  cold-excess: 1.5
  cold-slack: 5
  evacuate-ms: 5000
  recovery-s: 12
  stall-ms: 6000
  ceiling-window-s: 5
  ceiling-excess: 1.1
platform:
  address: %q
  form: "log"
  writes-per-s: 400
  reads-per-s: 2000
`, e.Name, e.IP, e.Zone, zones, e.Front, e.Ready, peerPort, peerPort+1, d.storeAddr)
}

// Key is the API key of the only client account.
const Key = "n2ctnfzs989anu6wsjnb"

// Config returns a configuration of the site's kind: a resumable stream on the model
// service, and an unsafe and a safe route on the plain service.
func Config(version int) map[string]any {
	route := func(name, kind, service string, timeout, slo, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "ficu95.example", "path-prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout-ms": timeout, "slo-ms": slo, "priority": 1, "max-attempts": attempts, "anonymous": false,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("reply", "streaming", "stylist-model", 6000, 250, 2, map[string]any{"resumable": true, "gap-target-ms": 200, "sticky": true}),
			route("deposit", "unsafe", "atelier-desk", 800, 300, 1, nil),
			route("lookup", "safe", "atelier-desk", 800, 300, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "stylist-model", "health-path": "/health", "max-conns": 474, "cold-start-s": 3.0, "cold-per-s": 36.0, "engine": map[string]any{
				"batch-slots": slots, "kv-capacity": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
				"pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 5.5, "loads_at_once": 8, "form-ms": 300.0, "cached-prefixes": 1, "far_x": 4.0,
				"usual":  map[string]any{"prompt": 1115, "answer": 152},
				"models": []any{map[string]any{"name": Model, "size": groupSize, "share": 1.0, "pace": 0.6, "load-s": 12.0, "warm-s": 1.1}},
			}},
			map[string]any{"name": "atelier-desk", "health-path": "/health", "max-conns": 110, "cold-start-s": 0.0, "cold-per-s": 0.0},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{Key}}},
	}
}

// ActsAsKeeper reports whether the last line of its log on that says that the instance manages
// the groups of its zone.
func (e *Entry) ActsAsKeeper() bool {
	data, err := os.ReadFile(e.log.Name())
	if err != nil {
		return false
	}
	acting := false
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, `"msg":"keeper"`) {
			acting = strings.Contains(line, `"acting":true`)
		}
	}
	return acting
}
