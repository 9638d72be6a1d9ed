package main

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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 12 * time.Second
	restartTime  = 500 * time.Millisecond
	zone         = "zone-a"
	host         = "app.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
)

// world holds the stand-ins and the processes of one play.
type world struct {
	program string
	dir     string
	network string // the first three bytes of all addresses
	start   time.Time
	store   *metastore.Store
	fleet   *fleet

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	granted   *instance // that last wrote to the topic of the grants
	excused   *instance // that isn't in touch, so that its clients don't count
	restarted time.Time // when the processes were last started again
}

// instance is an entry instance, a process of the program.
type instance struct {
	name, ip, front, ready, settings string
	storeAt                          string // address of the store for this instance
	metricsPort                      int
	refused                          atomic.Bool // the store turns this instance away
	cmd                              *exec.Cmd
	ended                            chan struct{}
}

func newWorld(program, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	w := &world{
		program: program, dir: dir, record: file, start: time.Now(), store: metastore.New(),
		network: fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250)),
	}
	w.fleet = newFleet(w)
	return w, nil
}

// serveStore serves the store to an instance at an address of its own, so that the store can
// turn this instance away.
func (w *world) serveStore(i *instance) error {
	l, err := net.Listen("tcp4", w.network+".250:0")
	if err != nil {
		return err
	}
	i.storeAt = l.Addr().String()
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if i.refused.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/log-append" && r.URL.Query().Get("topic") == "keyed.grants" {
			w.mu.Lock()
			w.granted = i
			w.mu.Unlock()
			w.log("the store appends a record of %s to keyed.grants", i.name)
		}
		w.store.ServeHTTP(rw, r)
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }() // ends with the process
	return nil
}

// lastGranted returns the instance that last wrote to the topic of the grants.
func (w *world) lastGranted() *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, args ...any) {
	w.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// put writes an operator's record.
func (w *world) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", key, data)
	return nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

const settingsText = `node: %q
role: "entry"
class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "area"
zones:
%slisten:
  front: %q
  ready: %q
port-range: [%d, %d]
seed-nodes: []
bootstrap: true
limits:
  cpu-share: 0.4
  cores: 1
  memory-mb: 284
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
heartbeat-ms: 1200
bounds:
  contact-ms: 3000
  ack-ms: 4000
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-ms: 2000
  revoke-ms: 5000
  strict-revoke: true
  retry-ratio: 0.2
  retry-window-s: 10
  retry-slack: 134
  stall-ms: 6000
  ceiling-window-s: 5
platform:
  address: %q
  form: "log"
`

// addInstances writes the settings of entry instances in the zones and starts them.
func (w *world) addInstances(zones ...string) error {
	first := w.network + ".1"
	base, err := freePort(first)
	if err != nil {
		return err
	}
	metricsPort, err := freePort(first)
	if err != nil {
		return err
	}
	var all strings.Builder
	for _, z := range slices.Compact(slices.Sorted(slices.Values(zones))) {
		fmt.Fprintf(&all, "  %s: \"area\"\n", z)
	}
	for k, z := range zones {
		ip := fmt.Sprintf("%s.%d", w.network, k+1)
		front, err := freePort(ip)
		if err != nil {
			return err
		}
		ready, err := freePort(ip)
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", z, k+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ready),
			metricsPort: metricsPort, settings: filepath.Join(w.dir, fmt.Sprintf("local-%d.yaml", k+1)),
		}
		if err := w.serveStore(i); err != nil {
			return err
		}
		text := fmt.Sprintf(settingsText, i.name, ip, z, all.String(), i.front, i.ready, base, base+15, i.storeAt)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts the process of an instance as the deploy file says.
func (w *world) startInstance(i *instance) error {
	out, err := os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	i.cmd = exec.Command(w.program, "platform", "serve", "-metrics-port", fmt.Sprint(i.metricsPort))
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "CHICORYSTALL_SETTINGS=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = out, out
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	cmd, ended := i.cmd, i.ended
	go func() {
		err := cmd.Wait()
		w.log("process %s of %s ended: %v", fmt.Sprint(cmd.Process.Pid), i.name, err)
		close(ended)
	}()
	return nil
}

// killAll kills the processes of all entry instances and starts them again.
func (w *world) killAll() error {
	w.log("all entry instances are killed")
	for _, i := range w.instances {
		if err := i.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		<-i.ended
	}
	time.Sleep(restartTime)
	for _, i := range w.instances {
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	w.mu.Lock()
	w.restarted = time.Now()
	w.mu.Unlock()
	return nil
}

// isReady reports whether the readiness probe of an instance is answered with 200.
func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (w *world) awaitReady() error {
	for _, i := range w.instances {
		if !waitFor(startTimeout, i.isReady) {
			return fmt.Errorf("instance %s isn't ready", i.name)
		}
	}
	return nil
}

// close ends all processes that the world started. The log files stay if KEEP is set.
func (w *world) close() {
	for _, i := range w.instances {
		select {
		case <-i.ended:
			continue
		default:
		}
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		select {
		case <-i.ended:
		case <-time.After(stopTimeout):
		}
	}
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}
