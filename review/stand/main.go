package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// caseFunc runs a case and returns what broke the rule, or nothing if the rule held.
type caseFunc func(ctx context.Context, e *env) (broken []string, err error)

var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	runCase, ok := cases[*name]
	if !ok || *dir == "" {
		fmt.Fprintf(os.Stderr, "stand: unknown case %q, or no folder\n", *name)
		return exitNotRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, maxRunTime)
	defer cancelTimeout()
	trouble := os.Getenv("TROUBLE") != "0"
	e, err := newEnv(ctx, *root, filepath.Join(*dir, "record.txt"), trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	defer e.close()
	broken, err := runCase(ctx, e)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the case took too long or was interrupted")
	}
	if err != nil {
		e.record("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	for _, b := range broken {
		e.record("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	e.record("HELD (disruption: %v)", trouble)
	fmt.Println("HELD")
	return exitHeld
}
