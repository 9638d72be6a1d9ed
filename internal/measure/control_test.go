package measure

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMain(m *testing.M) {
	RunChild()
	os.Exit(m.Run())
}

func TestFitLine(t *testing.T) {
	for _, test := range []struct {
		name         string
		x, y         []float64
		start, slope float64
		fit          float64
	}{
		{"exact", []float64{2, 4, 8, 16}, []float64{7, 11, 19, 35}, 3, 2, 1},
		{"flat", []float64{1, 2, 3, 4}, []float64{5, 5, 5, 5}, 5, 0, 1},
		{"scattered", []float64{1, 2, 3, 4}, []float64{1, 3, 2, 4}, 0.5, 0.8, 0.64},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			l := fitLine(test.x, test.y)
			g.Expect(l.intercept).To(BeNumerically("~", test.start, 1e-9))
			g.Expect(l.slope).To(BeNumerically("~", test.slope, 1e-9))
			g.Expect(l.fit).To(BeNumerically("~", test.fit, 1e-9))
			g.Expect(l.at(10)).To(BeNumerically("~", test.start+10*test.slope, 1e-9))
		})
	}
}

func TestMeasureControl(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cost, err := measureControl(controlSize{dataCentres: 1, entries: 2, groups: 1, groupSize: 1}, 500*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cost.bytes).To(BeNumerically(">", 0))
	g.Expect(cost.writeCalls).To(BeNumerically(">", 0))
	g.Expect(cost.heap).To(BeNumerically(">", 0))
	g.Expect(cost.resident).To(BeNumerically(">", cost.heap/2))
}
