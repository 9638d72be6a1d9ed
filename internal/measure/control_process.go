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

// childEnvironment names the environment variable that starts a process as a
// measured child; its value is a child in JSON.
const childEnvironment = "CHICORYSTALL_MEASURE_CHILD"

// child selects what a measured process does. Exactly one field is set.
type child struct {
	Entry *entry.Settings // runs an entry instance
	Poll  []string        // requests these URLs in each interval
}

// RunChild runs the measured child and does not return if a measurement started
// this process as one; otherwise it returns at once. Programs that run
// measurements must call it first.
func RunChild() {
	text := os.Getenv(childEnvironment)
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

// poll is the baseline for the cost of control: an instance polls all other
// instances and all backend servers itself.
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

// startChild starts this program again as a measured process. The returned
// function kills it.
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
	cmd.Env = append(os.Environ(), childEnvironment+"="+string(text))
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

// processUsage holds the kernel's counters of a process since its start.
type processUsage struct {
	At        time.Time
	Processor time.Duration
	Read      float64 // bytes, in read system calls
	Written   float64 // bytes, in write system calls
	Writes    float64 // write system calls
	Resident  float64 // current bytes
}

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// readUsage reads the resource use of a process. The read and written bytes are
// network traffic only, since the process accesses no files while it is measured.
func readUsage(pid int) (processUsage, error) {
	use := processUsage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return use, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12 // field indexes after the program's name
	if len(fields) <= systemField {
		return use, fmt.Errorf("/proc/%d/stat has only %d fields", pid, len(fields))
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

// readCounters reads the counters named in into from a file with a name and a
// number on each line.
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

// readHeap returns the allocated bytes and the bytes of spans in use in the heap
// of an entry instance.
func readHeap(operators string) (alloc, inUse float64, err error) {
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
