package stream

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the random tests, unless the command line sets another.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}
