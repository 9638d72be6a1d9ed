package stream

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}
