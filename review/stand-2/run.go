package stand2

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Case is what a script runs.
type Case struct {
	Program string // the project's program
	Folder  string // of record.txt
	Trouble bool   // the disruption takes place
	Logs    string // folder for the logs of the processes; empty for a temporary one
	Length  time.Duration
}

// Run runs a case and returns the exit code. It ends everything that it started.
func (c Case) Run(zones []string, play func(ctx context.Context, d *Deployment) (broken bool, err error)) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, c.Length)
	defer cancelTimeout()
	record, err := NewRecord(filepath.Join(c.Folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer record.Close()
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return CannotRun
		}
		defer os.RemoveAll(dir)
	}
	d, err := NewDeployment(dir, record, zones...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer d.Close()
	record.Add("trouble: %v", c.Trouble)
	broken, err := play(ctx, d)
	switch {
	case err != nil:
		record.Add("the case can't run: %v", err)
		fmt.Println("the case can't run:", err)
		return CannotRun
	case broken:
		record.Add("the rule is broken")
		fmt.Println("the rule is broken")
		return Broken
	}
	record.Add("the rule held")
	fmt.Println("the rule held")
	return Held
}

// FromEnvironment returns the case that the command line names: program and folder. The
// variable TROUBLE is 0 for a run without the disruption.
func FromEnvironment(length time.Duration) (Case, error) {
	if len(os.Args) < 3 {
		return Case{}, fmt.Errorf("usage: %s PROGRAM FOLDER", filepath.Base(os.Args[0]))
	}
	program, err := filepath.Abs(os.Args[1])
	if err != nil {
		return Case{}, err
	}
	return Case{Program: program, Folder: os.Args[2], Trouble: os.Getenv("TROUBLE") != "0", Logs: os.Getenv("CASE_LOGS"), Length: length}, nil
}
