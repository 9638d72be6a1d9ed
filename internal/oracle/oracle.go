// Package oracle runs tests of state machines with rapid. [Main] fixes the seed, so that
// the tests are reproducible. [WantViolation] is for tests of a machine with one of its
// guards disabled: it checks that the test oracle finds the violation that the guard
// prevents.
//
//	func TestMain(m *testing.M) { oracle.Main(m, 200, 120) }
package oracle

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Main runs a package's tests with rapid seed 1 and the given numbers of rapid checks and steps,
// except where the command line sets other values.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	fixed := map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.steps":      strconv.Itoa(steps),
		"rapid.shrinktime": "1ms",
		"rapid.nofailfile": "true",
	}
	for name, value := range fixed {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// WantViolation passes if the property fails, as it must with a guard disabled. It runs
// more checks than a test that expects the property to hold, since a violation may be
// rare.
func WantViolation(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	previous := checks.Value.String()
	_ = checks.Value.Set("5000")
	defer func() { _ = checks.Value.Set(previous) }()
	r := &failureRecorder{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Error("the oracle found no violation with the guard disabled")
	}
}

// failureRecorder records whether a property failed, without failing the test.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }

// FailNow records the failure and ends the goroutine that runs rapid.Check.
func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
