package measure

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

var plain = Table{
	Name:    "plain",
	Columns: []string{"size", "kind", "time", "share"},
	Rows:    [][]string{{"1", "base", "20 ms", "99%"}, {"2", "product", "1.5s", "-"}},
}

func TestPlot(t *testing.T) {
	for _, test := range []struct {
		file string
		fine bool
	}{{"a.svg", true}, {"a.png", true}, {"a.bmp", false}} {
		t.Run(test.file, func(t *testing.T) {
			g := NewWithT(t)
			file := filepath.Join(t.TempDir(), test.file)
			if !test.fine {
				g.Expect(plain.Plot(file)).NotTo(Succeed())
				return
			}
			g.Expect(plain.Plot(file)).To(Succeed())
			info, err := os.Stat(file)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(info.Size()).To(BeNumerically(">", 0))
		})
	}
}

func TestNumericColumns(t *testing.T) {
	NewWithT(t).Expect(plain.numericColumns()).To(Equal([]int{2}))
}

func TestNumber(t *testing.T) {
	for cell, want := range map[string]float64{"20 ms": 20, "1.5s": 1.5, "99.5%": 99.5, "0.80x": 0.8, "-3": -3} {
		value, ok := number(cell)
		NewWithT(t).Expect(ok).To(BeTrue(), cell)
		NewWithT(t).Expect(value).To(Equal(want), cell)
	}
	_, ok := number("never")
	NewWithT(t).Expect(ok).To(BeFalse())
}

func TestListHasEachNameOnce(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[string]bool)
	for _, m := range List() {
		g.Expect(seen).NotTo(HaveKey(m.Name))
		g.Expect(m.Help).NotTo(BeEmpty())
		g.Expect(m.Run).NotTo(BeNil())
		seen[m.Name] = true
	}
}
