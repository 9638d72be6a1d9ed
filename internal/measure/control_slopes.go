package measure

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// Size of the largest planned deployment, to which the fitted lines are
// extrapolated. All but targetDataCentres are the size of one data centre.
const (
	targetDataCentres = 5
	targetEntries     = 72
	targetServers     = 168
	targetGroups      = 21 // of 8 model workers each
)

// concurrentSizes is the number of sizes that are measured at the same time. They
// can share the machine because only one process of each is measured.
const concurrentSizes = 2

// sweep is a series of deployments that vary in one dimension.
type sweep struct {
	name      string
	dimension string // description of the dimension
	target    float64
	size      func(c controlSize) float64
	sizes     []controlSize
}

var (
	sweepEntries = sweep{
		name: "control-cost-entries", dimension: "entry instances in the data centre", target: targetEntries,
		size:  func(c controlSize) float64 { return float64(c.entries) },
		sizes: []controlSize{{1, 4, 8, 2}, {1, 8, 8, 2}, {1, 16, 8, 2}, {1, 32, 8, 2}},
	}
	sweepServers = sweep{
		name: "control-cost-servers", dimension: "model workers in the data centre", target: targetServers,
		size:  func(c controlSize) float64 { return float64(c.servers()) },
		sizes: []controlSize{{1, 4, 8, 1}, {1, 4, 8, 2}, {1, 4, 8, 4}, {1, 4, 8, 8}},
	}
	sweepGroups = sweep{
		name: "control-cost-groups", dimension: "groups in the data centre", target: targetGroups,
		size:  func(c controlSize) float64 { return float64(c.groups) },
		sizes: []controlSize{{1, 4, 4, 8}, {1, 4, 8, 4}, {1, 4, 16, 2}, {1, 4, 32, 1}},
	}
	sweepDataCentres = sweep{
		name: "control-cost-data-centres", dimension: "data centres", target: targetDataCentres,
		size:  func(c controlSize) float64 { return float64(c.dataCentres) },
		sizes: []controlSize{{1, 4, 4, 2}, {2, 4, 4, 2}, {3, 4, 4, 2}, {5, 4, 4, 2}},
	}
)

// ControlCostEntries measures the cost of control for one entry instance by the
// number of entry instances.
func ControlCostEntries(seed uint64) Table { return sweepEntries.run(seed, controlWindow) }

// ControlCostServers measures the cost of control for one entry instance by the
// number of model workers.
func ControlCostServers(seed uint64) Table { return sweepServers.run(seed, controlWindow) }

// ControlCostGroups measures the cost of control for one entry instance by the
// number of groups.
func ControlCostGroups(seed uint64) Table { return sweepGroups.run(seed, controlWindow) }

// ControlCostDataCentres measures the cost of control for one entry instance by
// the number of data centres.
func ControlCostDataCentres(seed uint64) Table { return sweepDataCentres.run(seed, controlWindow) }

// ControlCostTarget measures the cost of control for one entry instance in one
// data centre of the largest planned size.
func ControlCostTarget(seed uint64) Table {
	s := sweep{
		name:  "control-cost-target",
		size:  func(c controlSize) float64 { return float64(c.entries) },
		sizes: []controlSize{{1, targetEntries, targetGroups, targetServers / targetGroups}},
	}
	return s.run(seed, controlWindow)
}

var controlColumns = []string{
	"size", "core", "B/s", "messages/s", "live heap MB", "resident MB", "log appends/s", "polling: core", "polling: B/s",
}

const controlNote = "One entry instance is a process of its own; the kernel counts its processor time, the bytes that it reads and writes " +
	"(TCP and IP headers excluded) and its calls of write, at the default heartbeats and without callers. Log appends are those of all instances. " +
	"Polling is the baseline: one process that asks each other entry instance and each model worker itself, twice a second."

func (s sweep) run(seed uint64, window time.Duration) Table {
	t := Table{Name: s.name, Seed: seed, Columns: controlColumns, Note: controlNote}
	costs := make([]controlCost, len(s.sizes))
	var runs errgroup.Group
	runs.SetLimit(concurrentSizes)
	for n, size := range s.sizes {
		runs.Go(func() (err error) {
			costs[n], err = measureControl(size, window)
			return err
		})
	}
	if err := runs.Wait(); err != nil {
		return failedTable(s.name, seed, err)
	}
	for _, cost := range costs {
		t.Rows = append(t.Rows, cost.row())
	}
	if len(costs) > 1 {
		s.addSlopes(&t, costs)
	}
	return t
}

func (c controlCost) values() []float64 {
	const megabyte = 1 << 20
	return []float64{c.core, c.bytes, c.writeCalls, c.heap / megabyte, c.resident / megabyte, c.appends, c.pollCore, c.pollBytes}
}

func (c controlCost) row() []string {
	return controlRow(fmt.Sprintf("%d data centres of %d entry instances, %d groups of %d",
		c.size.dataCentres, c.size.entries, c.size.groups, c.size.groupSize), c.values())
}

func controlRow(label string, v []float64) []string {
	return []string{
		label, fmt.Sprintf("%.2f%%", 100*v[0]), fmt.Sprintf("%.0f", v[1]), fmt.Sprintf("%.1f", v[2]), fmt.Sprintf("%.2f", v[3]),
		fmt.Sprintf("%.1f", v[4]), fmt.Sprintf("%.2f", v[5]), fmt.Sprintf("%.2f%%", 100*v[6]), fmt.Sprintf("%.0f", v[7]),
	}
}

// addSlopes adds rows with the slopes of the fitted lines, the quality of the fits
// and the values extrapolated to the target size.
func (s sweep) addSlopes(t *Table, costs []controlCost) {
	var sizes []float64
	for _, cost := range costs {
		sizes = append(sizes, s.size(cost.size))
	}
	var slopes, fits, extrapolated []float64
	for column := range costs[0].values() {
		var values []float64
		for _, cost := range costs {
			values = append(values, cost.values()[column])
		}
		l := fitLine(sizes, values)
		slopes = append(slopes, l.slope)
		fits = append(fits, l.fit)
		extrapolated = append(extrapolated, l.at(s.target))
	}
	t.Rows = append(t.Rows, slopeRow("slope for each of: "+s.dimension, slopes), fitRow(fits),
		controlRow(fmt.Sprintf("at %.0f, stretched %.1f times", s.target, s.target/sizes[len(sizes)-1]), extrapolated))
}

func slopeRow(label string, v []float64) []string {
	return []string{
		label, fmt.Sprintf("%.4f%%", 100*v[0]), fmt.Sprintf("%.1f", v[1]), fmt.Sprintf("%.3f", v[2]), fmt.Sprintf("%.4f", v[3]),
		fmt.Sprintf("%.3f", v[4]), fmt.Sprintf("%.4f", v[5]), fmt.Sprintf("%.4f%%", 100*v[6]), fmt.Sprintf("%.1f", v[7]),
	}
}

func fitRow(fits []float64) []string {
	row := []string{"R² of the fit"}
	for _, fit := range fits {
		row = append(row, fmt.Sprintf("%.2f", fit))
	}
	return row
}

// line is a straight line fitted to measured values.
type line struct {
	intercept, slope float64
	fit              float64 // R², from 0 to 1
}

// fitLine fits a line to the points by least squares.
func fitLine(x, y []float64) line {
	start, slope := stat.LinearRegression(x, y, nil, false)
	l := line{intercept: start, slope: slope, fit: 1}
	if stat.Variance(y, nil) > 0 {
		l.fit = stat.RSquared(x, y, nil, start, slope)
	}
	return l
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }
