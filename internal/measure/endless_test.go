package measure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/fake/endless"
)

func TestEndlessAnswersAreCutOff(t *testing.T) {
	const limit = 16 * mebibyte
	parts := []endless.Part{endless.HeaderValue, endless.Informational, endless.EventLines}
	table := endlessTable(1, parts, 500*time.Millisecond, limit)
	logTable(t, table)
	expectTable(t, table, 2*len(parts))
	g := NewWithT(t)
	for _, part := range parts {
		g.Expect(cell(t, table, "written MiB", part.String(), "entry instance")).To(BeNumerically("<", limit/mebibyte), "%s", part)
	}
}

func TestEndlessBeside(t *testing.T) {
	table := endlessBesideTable(1, 300*time.Millisecond)
	logTable(t, table)
	expectTable(t, table, 2)
	g := NewWithT(t)
	for _, row := range table.Rows {
		g.Expect(row[2]).To(Equal("0"), "requests of the sound service that failed beside %s", row[0])
	}
}
