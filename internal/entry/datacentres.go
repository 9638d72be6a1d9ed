package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystall/chicorystall/internal/membership"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/placement"
	"github.com/chicorystall/chicorystall/pkg/route"
)

const (
	// rampDuration is the time in which the share of a returning data centre grows
	// to its full free capacity.
	rampDuration = 10 * time.Second
	// initialRamp is the fraction of its free capacity that a returning data centre
	// may be given at once.
	initialRamp = 0.1
)

// fleetState holds the platform's list of instances and the state of the data
// centres.
type fleetState struct {
	stopping atomic.Bool

	mu             sync.Mutex
	leaving        map[string]bool          // backend servers that the platform lists as leaving
	gone           map[string]bool          // backend servers that the platform lists as gone
	endedProcesses []placement.Process      // entry instances that the platform lists as gone
	entryInstances []platform.Instance      // other entry instances that the platform does not list as gone
	listKnown      bool                     // the platform's list was read at least once
	openSince      map[string]time.Time     // by data centre; when it was first seen reachable and not drained
	overrides      map[string]drainOverride // by data centre
	spilled        map[string]int           // by data centre; requests forwarded to it since its last report
	reportTimes    map[string]time.Time     // by data centre; time of that report
}

// drainOverride is a drain mark that an operator sent to this instance directly, not
// through the log. It holds until a newer configuration is in force.
type drainOverride struct {
	Drained bool
	Offset  int64 // configuration offset in force when the mark was received
}

func (f *fleetState) isLeaving(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[server] || f.gone[server]
}

// hasEnded reports whether the platform lists this run of an entry instance as gone.
func (f *fleetState) hasEnded(process placement.Process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.endedProcesses, process)
}

// listedAddresses returns the addresses of the other entry instances that the
// platform does not list as gone, and whether the list was read. If localOnly is
// set, it returns only those of the data centre.
func (f *fleetState) listedAddresses(localOnly bool, dataCentre string) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, instance := range f.entryInstances {
		if !localOnly || instance.DataCentre == dataCentre {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses, f.listKnown
}

// isDrained reports whether operators drained the data centre.
func (s *Server) isDrained(dc fleet.DataCentre) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	override, ok := s.fleet.overrides[dc.Name]
	if ok && override.Offset >= int64(s.config.State().Offset()) {
		return override.Drained
	}
	return dc.Drained
}

func (s *Server) dataCentreViews(config fleet.Config, reports map[string]membership.Contact, now time.Time) []route.DataCentre {
	views := make([]route.DataCentre, 0, len(config.DataCentres))
	for _, dc := range config.DataCentres {
		contact, reachable := reports[dc.Name]
		view := route.DataCentre{
			Name:      dc.Name,
			Drained:   s.isDrained(dc),
			Reachable: reachable || dc.Name == s.settings.DataCentre,
		}
		for _, slots := range contact.Instance.GetReport().GetRoom() {
			view.FreeSlots += int(slots)
		}
		view.Ramp = s.ramp(view, now)
		view.Spilled = s.spilledSince(dc.Name, contact.ReportedAt)
		views = append(views, view)
	}
	return views
}

// newestReports returns the newest report of each other data centre.
func (s *Server) newestReports() map[string]membership.Contact {
	newest := make(map[string]membership.Contact)
	for _, contact := range s.members.Contacts() {
		if contact.Instance.GetReport() == nil || contact.Instance.GetReport().GetDraining() {
			continue
		}
		dataCentre := contact.Instance.GetDataCentre()
		if contact.ReportedAt.After(newest[dataCentre].ReportedAt) {
			newest[dataCentre] = contact
		}
	}
	return newest
}

// ramp returns the fraction of its free capacity that a data centre may be given. It
// grows with time after the data centre returned, so that the data centre is not
// overloaded at once.
func (s *Server) ramp(view route.DataCentre, now time.Time) float64 {
	f := &s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openSince == nil {
		f.openSince = make(map[string]time.Time)
	}
	if view.Drained || !view.Reachable {
		delete(f.openSince, view.Name)
		return 0
	}
	since, known := f.openSince[view.Name]
	if !known {
		since = now
		f.openSince[view.Name] = now
	}
	return min(1, initialRamp+float64(now.Sub(since))/float64(rampDuration))
}

// spilledSince returns the number of requests forwarded to a data centre since the
// report with the given time. A newer report resets it.
func (s *Server) spilledSince(dataCentre string, reportedAt time.Time) int {
	f := &s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reportTimes[dataCentre] != reportedAt {
		if f.reportTimes == nil {
			f.reportTimes = make(map[string]time.Time)
		}
		f.reportTimes[dataCentre] = reportedAt
		delete(f.spilled, dataCentre)
	}
	return f.spilled[dataCentre]
}

func (f *fleetState) countSpill(dataCentre string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.spilled == nil {
		f.spilled = make(map[string]int)
	}
	f.spilled[dataCentre]++
}

// choosePeer returns a random entry instance of another data centre that is not
// draining and has not handled the request yet.
func (s *Server) choosePeer(dataCentre string, req *request) (name, address string, ok bool) {
	var candidates []*peerpb.Instance
	for _, contact := range s.members.Contacts() {
		instance := contact.Instance
		draining := instance.GetReport().GetDraining()
		if instance.GetDataCentre() == dataCentre && !draining && !req.visited(instance.GetName()) {
			candidates = append(candidates, instance)
		}
	}
	if len(candidates) == 0 {
		return "", "", false
	}
	chosen := candidates[rand.IntN(len(candidates))]
	return chosen.GetName(), chosen.GetAddress(), true
}

// instanceReport returns the report of this instance to entry instances of other
// data centres.
func (s *Server) instanceReport() *peerpb.InstanceReport {
	status := s.config.Status()
	report := &peerpb.InstanceReport{
		ConfigOffset:    int64(status.Offset),
		Behind:          status.Behind,
		PlacementOffset: int64(s.placement.Status().Offset),
		Room:            make(map[string]int32),
		Draining:        s.fleet.stopping.Load(),
	}
	for model, slots := range s.routingState().freeSlots {
		report.Room[model] = int32(slots)
	}
	return report
}
