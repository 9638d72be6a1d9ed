package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

const (
	zone        = "zone-a"
	serveHost   = "app.example"
	apiKey      = "key-of-library"
	accountName = "library"
)

// env is the surroundings of a case: the store, the workers, the entry instances and the
// record.
type env struct {
	root, tmp string
	network   string // first three numbers of the loopback addresses
	trouble   bool
	started   time.Time
	store     *metastore.Store
	storeDown atomic.Bool

	neighbourPort int // of the digests between entry instances
	storeAddr     string

	mu      sync.Mutex
	file    *os.File
	servers []*http.Server
	entries []*entry
}

func newEnv(ctx context.Context, root, recordPath string, trouble bool) (*env, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	pid := os.Getpid()
	e := &env{
		root: root, tmp: tmp, trouble: trouble, started: time.Now(), file: file, store: metastore.New(),
		network: fmt.Sprintf("127.%d.%d", 30+pid/250%200, 1+pid%250),
	}
	e.storeAddr, err = e.serve(e.ip(1), e.store)
	if err != nil {
		e.close()
		return nil, err
	}
	context.AfterFunc(ctx, e.killEntries)
	return e, nil
}

func (e *env) ip(n int) string { return fmt.Sprintf("%s.%d", e.network, n) }

// serve serves a handler on a free port of an address until the case ends.
func (e *env) serve(ip string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler}
	e.mu.Lock()
	e.servers = append(e.servers, s)
	e.mu.Unlock()
	go func() {
		// Serve always returns an error, here that the server was closed.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// record writes a line with the time since the start of the case.
func (e *env) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.file, "%8.3f  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (e *env) close() {
	e.killEntries()
	for _, s := range e.servers {
		s.Close()
	}
	e.file.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(e.tmp)
	}
}

func (e *env) killEntries() {
	e.mu.Lock()
	entries := e.entries
	e.mu.Unlock()
	for _, p := range entries {
		p.kill()
	}
}

// putOperator writes a record as the operator does.
func (e *env) putOperator(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	e.store.Put("keyed.op", key, data)
	e.record("operator: %s is confirmed", key)
	return nil
}

// setStoreDown makes the store leave all calls unanswered, or ends that.
func (e *env) setStoreDown(down bool) {
	e.storeDown.Store(down)
	if down {
		e.store.SetFault(metastore.Silent)
	} else {
		e.store.SetFault(metastore.None)
	}
	e.record("store down: %v", down)
}

// entry is a process of an entry instance.
type entry struct {
	number       int
	front, ready string
	command      *exec.Cmd
	done         chan struct{}
}

const settingsText = `node: "entry-%d"
role: "entry"
class: "front"
serves: ["front"]
ip: "%s"
zone: "zone-a"
region: "area"
zones:
  zone-a: "area"
listen:
  front: "%s"
  ready: "%s"
port-range: [%d, %d]
seed-nodes: []
bootstrap: true
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
  grace-s: 8
  loss-slack-ms: 200
  config-ms: 2000
  revoke-ms: 5000
  retry-ratio: 0.2
  retry-window-s: 10
  retry-slack: 134
  stall-ms: 6000
  ceiling-window-s: 5
platform:
  address: "%s"
  form: "log"
`

// restart starts an entry instance again that was killed.
func (p *entry) restart(ctx context.Context, e *env) error {
	next, err := e.startEntry(ctx, p.number)
	if err != nil {
		return err
	}
	*p = *next
	return nil
}

// startEntry starts an entry instance with the command of the deploy file.
func (e *env) startEntry(ctx context.Context, n int) (*entry, error) {
	ip := e.ip(10 + n)
	ports, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	if e.neighbourPort == 0 { // the same on all machines
		e.neighbourPort = ports[2]
	}
	p := &entry{number: n, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), done: make(chan struct{})}
	settings := filepath.Join(e.tmp, fmt.Sprintf("entry-%d.yaml", n))
	text := fmt.Sprintf(settingsText, n, ip, p.front, p.ready, e.neighbourPort, e.neighbourPort+1, e.storeAddr)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(e.tmp, fmt.Sprintf("entry-%d.log", n)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.command = exec.Command(filepath.Join(e.root, "target", "chicorystall"), "platform", "serve", "-metrics-port", "9108")
	p.command.Dir = e.root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYSTALL_SETTINGS=" + settings}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.entries = append(e.entries, p)
	e.mu.Unlock()
	go func() {
		// The exit code doesn't matter: what the clients see is judged.
		_ = p.command.Wait()
		close(p.done)
	}()
	e.record("entry-%d started, pid %d", n, p.command.Process.Pid)
	return p, p.waitReady(ctx)
}

// freePorts returns three ports that are free on an address.
func freePorts(ip string) ([]int, error) {
	var ports []int
	for range 3 {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// waitReady waits until the process answers the load balancer's probes with 200.
func (p *entry) waitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if r, err := http.Get("http://" + p.ready + "/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the entry instance didn't become ready")
}

func (p *entry) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// kill ends the process, if it still runs, and waits for its end.
func (p *entry) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.signal(syscall.SIGCONT) // fails only if the process has ended
	_ = p.command.Process.Kill()
	<-p.done
}
