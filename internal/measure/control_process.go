package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/entry"
)

// childVariable names the environment variable that makes a process one of the
// measured ones.
const childVariable = "CHICORYSTALL_MEASURE_CHILD"

// child is what a measured process does. One field is set.
type child struct {
	Entry *entry.Settings // runs an entry instance
	Poll  []string        // asks these URLs in each interval
}

// RunChild turns this process into a measured one, and does not return, when a
// measurement started it for that. Programs that run measurements call it first.
func RunChild() {
	text := os.Getenv(childVariable)
	if text == "" {
		return
	}
	var c child
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if c.Entry == nil {
		poll(c.Poll)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if err := entry.New(*c.Entry, logger).Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// poll is the plain baseline of control: each instance asks all others and all
// backend servers itself.
func poll(urls []string) {
	client := newCaller(1)
	client.Timeout = time.Second
	for {
		next := time.After(entry.DefaultSettings().Heartbeat.Backends)
		for _, url := range urls {
			response, err := client.Get(url)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		<-next
	}
}

// startChild starts this program again as a measured process. It ends with the
// returned function.
func startChild(c child) (*exec.Cmd, func(), error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), childVariable+"="+string(text))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	return cmd, func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}, nil
}

// processUse is what the kernel counted of a process since its start.
type processUse struct {
	At        time.Time
	Processor time.Duration
	Read      float64 // bytes, in calls of read
	Written   float64 // bytes, in calls of write
	Writes    float64 // calls of write
	Resident  float64 // bytes now
}

// clockTick is the unit of the kernel's processor times.
const clockTick = 10 * time.Millisecond

// readUse reads what a process used. Its reads and writes are those of its
// connections: it touches no files while it is measured.
func readUse(pid int) (processUse, error) {
	use := processUse{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return use, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12 // after the program's name
	if len(fields) <= systemField {
		return use, fmt.Errorf("process %d has a stat of %d fields", pid, len(fields))
	}
	var ticks int64
	for _, field := range []int{userField, systemField} {
		var part int64
		if _, err := fmt.Sscan(fields[field], &part); err != nil {
			return use, err
		}
		ticks += part
	}
	use.Processor = time.Duration(ticks) * clockTick
	if err := readCounters(fmt.Sprintf("/proc/%d/io", pid), map[string]*float64{
		"rchar:": &use.Read, "wchar:": &use.Written, "syscw:": &use.Writes,
	}); err != nil {
		return use, err
	}
	const kilobyte = 1 << 10
	err = readCounters(fmt.Sprintf("/proc/%d/status", pid), map[string]*float64{"VmRSS:": &use.Resident})
	use.Resident *= kilobyte
	return use, err
}

// readCounters reads lines of a name and a number.
func readCounters(file string, into map[string]*float64) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || into[fields[0]] == nil {
			continue
		}
		if _, err := fmt.Sscan(fields[1], into[fields[0]]); err != nil {
			return err
		}
	}
	return nil
}

// heapOf returns the bytes of live objects and of spans in use of an entry
// instance's heap.
func heapOf(operators string) (alloc, inUse float64, err error) {
	response, err := http.Get("http://" + operators + "/debug/vars")
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	var vars struct {
		Memory struct {
			HeapAlloc float64
			HeapInuse float64
		} `json:"memstats"`
	}
	err = json.NewDecoder(response.Body).Decode(&vars)
	return vars.Memory.HeapAlloc, vars.Memory.HeapInuse, err
}
