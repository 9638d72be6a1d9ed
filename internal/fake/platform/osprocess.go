package platform

import (
	"bytes"
	"fmt"
	"os"
)

// osProcess names a process of this machine. The start time tells it from a
// later one with the same number. The zero value is never taken for ended.
type osProcess struct {
	pid   int
	start string
}

func findProcess(pid int) osProcess {
	if pid == 0 {
		return osProcess{}
	}
	_, start := processStat(pid)
	return osProcess{pid: pid, start: start}
}

// ended reports whether the process is gone. A stopped process is not.
func (p osProcess) ended() bool {
	if p.pid == 0 {
		return false
	}
	state, start := processStat(p.pid)
	return state == "" || state == "Z" || state == "X" || start != p.start
}

// processStat returns the state and the start time of a process, or nothing.
func processStat(pid int) (state, start string) {
	const (
		stateField = 0  // counted after the command, which may hold spaces
		startField = 19 // in clock ticks since the machine started
	)
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", ""
	}
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	if len(fields) <= startField {
		return "", ""
	}
	return string(fields[stateField]), string(fields[startField])
}
