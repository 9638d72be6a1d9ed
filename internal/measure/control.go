package measure

import (
	"context"
	"fmt"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/internal/operator"
)

const (
	controlStartTimeout = 40 * time.Second        // until all groups serve
	controlSettleTime   = 1500 * time.Millisecond // from the time that all groups serve to the first reading
	controlWindow       = 3 * time.Second
	pollWindow          = 1500 * time.Millisecond
)

// controlSize is the size of a deployment whose control traffic is measured.
type controlSize struct {
	dataCentres int
	entries     int // in each data centre
	groups      int // in each data centre
	groupSize   int
}

func (s controlSize) servers() int { return s.groups * s.groupSize }

// controlCost is the resource use of one entry instance; rates are per second.
type controlCost struct {
	size       controlSize
	core       float64 // share of a core
	bytes      float64 // bytes read and written
	writeCalls float64 // write system calls
	heap       float64 // live bytes
	resident   float64
	appends    float64 // records appended to the log by all instances
	pollCore   float64 // of the polling baseline
	pollBytes  float64
}

// measureControl starts a deployment in which one entry instance runs as a
// separate process, and reads the kernel's resource counters of that process.
func measureControl(size controlSize, window time.Duration) (controlCost, error) {
	d, err := startWithin(controlPlan(size), controlStartTimeout)
	if err != nil {
		return controlCost{}, err
	}
	defer d.Stop()
	settings, err := childSettings(d)
	if err != nil {
		return controlCost{}, err
	}
	cmd, stop, err := startChild(child{Entry: &settings})
	if err != nil {
		return controlCost{}, err
	}
	defer stop()
	if err := awaitChild(settings, size.groups); err != nil {
		return controlCost{}, err
	}
	time.Sleep(controlSettleTime)
	cost := controlCost{size: size}
	if err := cost.read(d, cmd, window); err != nil {
		return cost, err
	}
	if cost.heap, _, err = readHeap(settings.OperatorsAddress); err != nil {
		return cost, err
	}
	return cost, cost.readPoll(d)
}

// controlPlan returns the plan of a deployment of the given size. With a single
// data centre, it has one entry instance less, since the measured one is added.
func controlPlan(size controlSize) deployment.Plan {
	plan := deployment.Plan{
		EntriesPerDataCentre: size.entries,
		GroupsPerDataCentre:  size.groups,
		GroupSize:            size.groupSize,
		DesksPerDataCentre:   -1,
		Worker:               worker.Config{LoadTime: 50 * time.Millisecond, MemberCheckInterval: time.Second},
		Settings: func(s *entry.Settings) {
			s.Heartbeat = entry.DefaultSettings().Heartbeat
		},
	}
	for n := range size.dataCentres {
		plan.DataCentres = append(plan.DataCentres, fmt.Sprintf("dc-%d", n+1))
	}
	if size.dataCentres == 1 {
		plan.EntriesPerDataCentre--
	}
	return plan
}

// childSettings returns the settings of an additional entry instance in the first
// data centre.
func childSettings(d *deployment.Deployment) (entry.Settings, error) {
	const listeners = 3
	own, err := deployment.FreeAddresses(listeners)
	if err != nil {
		return entry.Settings{}, err
	}
	settings := d.Entries()[0].Settings
	settings.Name += "-measured"
	settings.CallersAddress, settings.PeersAddress, settings.OperatorsAddress = own[0], own[1], own[2]
	return settings, nil
}

func awaitChild(settings entry.Settings, groups int) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client := operator.Client{Address: settings.OperatorsAddress}
	for {
		status, err := client.Status(ctx, false)
		if err == nil && status.NotReady == "" && wholeGroups(status) >= groups {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "entry instance %q does not serve: %s", settings.Name, status.NotReady)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func wholeGroups(status operator.Status) int {
	whole := 0
	for _, g := range status.Groups {
		if g.NotWhole == "" {
			whole++
		}
	}
	return whole
}

// read measures the resource use of the process during the window.
func (c *controlCost) read(d *deployment.Deployment, cmd *exec.Cmd, window time.Duration) error {
	before, err := readUsage(cmd.Process.Pid)
	if err != nil {
		return err
	}
	appends := logRecords(d)
	time.Sleep(window)
	after, err := readUsage(cmd.Process.Pid)
	if err != nil {
		return err
	}
	seconds := after.At.Sub(before.At).Seconds()
	c.core = (after.Processor - before.Processor).Seconds() / seconds
	c.bytes = (after.Read + after.Written - before.Read - before.Written) / seconds
	c.writeCalls = (after.Writes - before.Writes) / seconds
	c.resident = after.Resident
	c.appends = float64(logRecords(d)-appends) / seconds
	return nil
}

// logRecords returns the number of records in all streams of the log.
func logRecords(d *deployment.Deployment) int64 {
	var records int64
	for _, stream := range d.Platform.Status().Streams {
		records += int64(stream.Next - 1)
	}
	return records
}

// readPoll measures the polling baseline against the same deployment.
func (c *controlCost) readPoll(d *deployment.Deployment) error {
	cmd, stop, err := startChild(child{Poll: pollURLs(d)})
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(pollWindow / 2)
	baseline := controlCost{}
	if err := baseline.read(d, cmd, pollWindow); err != nil {
		return err
	}
	c.pollCore, c.pollBytes = baseline.core, baseline.bytes
	return nil
}

// pollURLs returns the status URLs of the other entry instances and of the
// backend servers in the first data centre.
func pollURLs(d *deployment.Deployment) []string {
	var urls []string
	for _, e := range d.Entries() {
		urls = append(urls, "http://"+e.Settings.OperatorsAddress+"/healthz")
	}
	for _, server := range d.Fleet.BackendServers {
		if server.DataCentre == d.Plan.DataCentres[0] {
			urls = append(urls, "http://"+server.Address+engine.StatePath)
		}
	}
	return urls
}
