package platform

import (
	"bytes"
	"fmt"
	"os"
)

// osProcess identifies a process of this machine. The start time distinguishes it from
// a later process with the same ID. The zero value never counts as ended.
type osProcess struct {
	pid       int
	startTime string
}

func findProcess(pid int) osProcess {
	if pid == 0 {
		return osProcess{}
	}
	_, start := processStat(pid)
	return osProcess{pid: pid, startTime: start}
}

// ended reports whether the process has ended. A process paused by a signal has not.
func (p osProcess) ended() bool {
	if p.pid == 0 {
		return false
	}
	state, start := processStat(p.pid)
	return state == "" || state == "Z" || state == "X" || start != p.startTime
}

// processStat returns the state and the start time of a process, or empty strings if
// there is no such process.
func processStat(pid int) (state, start string) {
	const (
		stateField = 0  // counted from the field after the command, which may contain spaces
		startField = 19 // in clock ticks since the machine booted
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
