package measure

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// The sizes to which slopes are stretched: one of five data centres.
const (
	targetDataCentres = 5
	targetEntries     = 72
	targetServers     = 168
	targetGroups      = 21 // of 8 model workers
)

// concurrentSizes are measured side by side: what is read is that of one process
// of each.
const concurrentSizes = 2

// sweep is a row of deployments that differ in one size.
type sweep struct {
	name   string
	varied string // what differs
	target float64
	size   func(c controlSize) float64
	sizes  []controlSize
}

var (
	sweepEntries = sweep{
		name: "control-cost-entries", varied: "entry instances in the data centre", target: targetEntries,
		size:  func(c controlSize) float64 { return float64(c.entries) },
		sizes: []controlSize{{1, 4, 8, 2}, {1, 8, 8, 2}, {1, 16, 8, 2}, {1, 32, 8, 2}},
	}
	sweepServers = sweep{
		name: "control-cost-servers", varied: "model workers in the data centre", target: targetServers,
		size:  func(c controlSize) float64 { return float64(c.servers()) },
		sizes: []controlSize{{1, 4, 8, 1}, {1, 4, 8, 2}, {1, 4, 8, 4}, {1, 4, 8, 8}},
	}
	sweepGroups = sweep{
		name: "control-cost-groups", varied: "groups in the data centre", target: targetGroups,
		size:  func(c controlSize) float64 { return float64(c.groups) },
		sizes: []controlSize{{1, 4, 4, 8}, {1, 4, 8, 4}, {1, 4, 16, 2}, {1, 4, 32, 1}},
	}
	sweepDataCentres = sweep{
		name: "control-cost-data-centres", varied: "data centres", target: targetDataCentres,
		size:  func(c controlSize) float64 { return float64(c.dataCentres) },
		sizes: []controlSize{{1, 4, 4, 2}, {2, 4, 4, 2}, {3, 4, 4, 2}, {5, 4, 4, 2}},
	}
)

// ControlCostEntries measures what control costs one entry instance by the number
// of entry instances.
func ControlCostEntries(seed uint64) Table { return sweepEntries.run(seed, controlWindow) }

// ControlCostServers measures it by the number of model workers.
func ControlCostServers(seed uint64) Table { return sweepServers.run(seed, controlWindow) }

// ControlCostGroups measures it by the number of groups.
func ControlCostGroups(seed uint64) Table { return sweepGroups.run(seed, controlWindow) }

// ControlCostDataCentres measures it by the number of data centres.
func ControlCostDataCentres(seed uint64) Table { return sweepDataCentres.run(seed, controlWindow) }

// ControlCostTarget measures it in one data centre of the largest size aimed at.
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
		return failed(s.name, seed, err)
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
	return []float64{c.core, c.bytes, c.messages, c.heap / megabyte, c.resident / megabyte, c.appends, c.pollCore, c.pollBytes}
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

// addSlopes adds what one more costs, and the value at the size aimed at.
func (s sweep) addSlopes(t *Table, costs []controlCost) {
	var sizes []float64
	for _, cost := range costs {
		sizes = append(sizes, s.size(cost.size))
	}
	var slopes, fits, stretched []float64
	for column := range costs[0].values() {
		var values []float64
		for _, cost := range costs {
			values = append(values, cost.values()[column])
		}
		l := fitLine(sizes, values)
		slopes = append(slopes, l.slope)
		fits = append(fits, l.fit)
		stretched = append(stretched, l.at(s.target))
	}
	t.Rows = append(t.Rows, slopeRow("slope for each of: "+s.varied, slopes), fitRow(fits),
		controlRow(fmt.Sprintf("at %.0f, stretched %.1f times", s.target, s.target/sizes[len(sizes)-1]), stretched))
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

// line is a straight line through measured values.
type line struct {
	start, slope float64
	fit          float64 // R², from 0 to 1
}

// fitLine fits a line by least squares.
func fitLine(x, y []float64) line {
	start, slope := stat.LinearRegression(x, y, nil, false)
	l := line{start: start, slope: slope, fit: 1}
	if stat.Variance(y, nil) > 0 {
		l.fit = stat.RSquared(x, y, nil, start, slope)
	}
	return l
}

func (l line) at(x float64) float64 { return l.start + l.slope*x }
