package measure

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

func TestClaimBatchingSparesAppends(t *testing.T) {
	var table Table
	synctest.Test(t, func(t *testing.T) { table = ClaimBatching(1) })
	logTable(t, table)
	g := NewWithT(t)
	single := cell(t, table, "appends/s", "100", "no batching")
	batched := cell(t, table, "appends/s", "100", "one instance a shard, 2 shards")
	g.Expect(batched).To(BeNumerically("<", single))
	g.Expect(cell(t, table, "appends/s", "1000", "any instance, 2 shards, limit")).To(BeNumerically("<", 400))
	g.Expect(cell(t, table, "refused", "1000", "one instance a shard, 2 shards")).To(BeZero())
}

func TestClaimOutageRefusesOrMints(t *testing.T) {
	table := ClaimOutage(1)
	logTable(t, table)
	g := NewWithT(t)
	g.Expect(cell(t, table, "unknown", "claim on the log", "1m0s")).To(BeNumerically("<=", cell(t, table, "unknown", "minted keys", "1m0s")))
	g.Expect(cell(t, table, "ran", "minted keys", "1m0s")).To(BeNumerically(">", cell(t, table, "ran", "claim on the log", "1m0s")))
}
