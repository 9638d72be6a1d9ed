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
	// returnRamp is how long a data centre that returns takes to get its full part.
	returnRamp = 10 * time.Second
	// returnStart is the part of it that it gets at once.
	returnStart = 0.1
)

// fleetList holds what the platform lists and what was learnt of data centres.
type fleetList struct {
	stopping atomic.Bool

	mu       sync.Mutex
	leaving  map[string]bool      // backend servers
	gone     map[string]bool      // backend servers
	ended    []placement.Process  // entry instances that are listed as gone
	listed   []platform.Instance  // live entry instances
	heard    bool                 // the platform's list was read once
	opened   map[string]time.Time // when a data centre was first seen open again
	overrule map[string]override  // told to this instance directly
	spilled  map[string]int       // requests forwarded since the last report
	reported map[string]time.Time // time of that report
}

// override is a drain mark that an operator told this instance directly. It
// holds until a newer configuration is in force.
type override struct {
	Drained bool
	Offset  int64 // configuration offset at which it was told
}

func (f *fleetList) isLeaving(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[server] || f.gone[server]
}

// hasEnded reports whether the platform lists the run of an entry instance as
// gone.
func (f *fleetList) hasEnded(process placement.Process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.ended, process)
}

// listedAddresses returns the addresses of the entry instances that the platform
// lists as live, and whether the list is known. With own set, only those of the
// data centre.
func (f *fleetList) listedAddresses(own bool, dataCentre string) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, instance := range f.listed {
		if !own || instance.DataCentre == dataCentre {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses, f.heard
}

// drained reports whether operators took the data centre out.
func (s *Server) drained(dc fleet.DataCentre) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	told, ok := s.fleet.overrule[dc.Name]
	if ok && told.Offset >= int64(s.config.State().Offset()) {
		return told.Drained
	}
	return dc.Drained
}

func (s *Server) dataCentreViews(config fleet.Config, reports map[string]membership.Contact, now time.Time) []route.DataCentre {
	views := make([]route.DataCentre, 0, len(config.DataCentres))
	for _, dc := range config.DataCentres {
		contact, reachable := reports[dc.Name]
		view := route.DataCentre{
			Name:      dc.Name,
			Drained:   s.drained(dc),
			Reachable: reachable || dc.Name == s.settings.DataCentre,
		}
		for _, room := range contact.Instance.GetReport().GetRoom() {
			view.FreeSlots += int(room)
		}
		view.Ramp = s.ramp(view, now)
		view.Spilled = s.spillSent(dc.Name, contact.ReportedAt)
		views = append(views, view)
	}
	return views
}

// contactReports returns the newest report of each other data centre.
func (s *Server) contactReports() map[string]membership.Contact {
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

// ramp returns the part of its room that a data centre may be given. It grows
// after the data centre was seen to return.
func (s *Server) ramp(view route.DataCentre, now time.Time) float64 {
	f := &s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opened == nil {
		f.opened = make(map[string]time.Time)
	}
	if view.Drained || !view.Reachable {
		delete(f.opened, view.Name)
		return 0
	}
	opened, known := f.opened[view.Name]
	if !known {
		opened = now
		f.opened[view.Name] = now
	}
	return min(1, returnStart+float64(now.Sub(opened))/float64(returnRamp))
}

// spillSent returns what was forwarded to a data centre since its report.
func (s *Server) spillSent(dataCentre string, report time.Time) int {
	f := &s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reported[dataCentre] != report {
		if f.reported == nil {
			f.reported = make(map[string]time.Time)
		}
		f.reported[dataCentre] = report
		delete(f.spilled, dataCentre)
	}
	return f.spilled[dataCentre]
}

func (f *fleetList) noteSpill(dataCentre string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.spilled == nil {
		f.spilled = make(map[string]int)
	}
	f.spilled[dataCentre]++
}

// peerIn returns the address of an entry instance in another data centre that
// has not handled the request yet.
func (s *Server) peerIn(dataCentre string, req *request) (name, address string, ok bool) {
	var choices []*peerpb.Instance
	for _, contact := range s.members.Contacts() {
		instance := contact.Instance
		draining := instance.GetReport().GetDraining()
		if instance.GetDataCentre() == dataCentre && !draining && !req.visited(instance.GetName()) {
			choices = append(choices, instance)
		}
	}
	if len(choices) == 0 {
		return "", "", false
	}
	chosen := choices[rand.IntN(len(choices))]
	return chosen.GetName(), chosen.GetAddress(), true
}

// instanceReport is what this instance tells those of other data centres.
func (s *Server) instanceReport() *peerpb.InstanceReport {
	status := s.config.Status()
	report := &peerpb.InstanceReport{
		ConfigOffset:    int64(status.Offset),
		Behind:          status.Behind,
		PlacementOffset: int64(s.placement.Status().Offset),
		Room:            make(map[string]int32),
		Draining:        s.fleet.stopping.Load(),
	}
	for model, room := range s.picture().room {
		report.Room[model] = int32(room)
	}
	return report
}
