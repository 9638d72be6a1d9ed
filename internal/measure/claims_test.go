package measure

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// claimSchemeNamed returns the claim scheme with the given name.
func claimSchemeNamed(t *testing.T, name string) claimScheme {
	t.Helper()
	for _, scheme := range claimSchemes {
		if scheme.name == name {
			return scheme
		}
	}
	t.Fatalf("scheme %q does not exist", name)
	return claimScheme{}
}

// Only the rows with expectations are run, since the whole table takes long. The
// check of the append limit needs the full number of requests.
func TestClaimBatchingSparesAppends(t *testing.T) {
	t.Parallel()
	points := []claimPoint{
		{100, 400, claimSchemeNamed(t, "no batching")},
		{100, 400, claimSchemeNamed(t, "one instance a shard, 2 shards")},
		{1000, claimRequestCount(1000), claimSchemeNamed(t, "any instance, 2 shards, limit")},
		{1000, claimRequestCount(1000), claimSchemeNamed(t, "one instance a shard, 2 shards")},
	}
	var table Table
	synctest.Test(t, func(t *testing.T) { table = claimBatchingTable(1, points) })
	logTable(t, table)
	g := NewWithT(t)
	single := cell(t, table, "appends/s", "100", "no batching")
	batched := cell(t, table, "appends/s", "100", "one instance a shard, 2 shards")
	g.Expect(batched).To(BeNumerically("<", single))
	g.Expect(cell(t, table, "appends/s", "1000", "any instance, 2 shards, limit")).To(BeNumerically("<", 400))
	g.Expect(cell(t, table, "refused", "1000", "one instance a shard, 2 shards")).To(BeZero())
}

func TestClaimOutageMintedKeysRunMore(t *testing.T) {
	t.Parallel()
	table := claimOutageTable(1, time.Minute)
	logTable(t, table)
	g := NewWithT(t)
	g.Expect(cell(t, table, "unknown", "claim on the log", "1m0s")).To(BeNumerically("<=", cell(t, table, "unknown", "minted keys", "1m0s")))
	g.Expect(cell(t, table, "ran", "minted keys", "1m0s")).To(BeNumerically(">", cell(t, table, "ran", "claim on the log", "1m0s")))
}
