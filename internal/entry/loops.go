package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/capacity"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/internal/platform"
	"github.com/chicorystall/chicorystall/pkg/limit"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

const (
	// joinTimeout bounds one attempt to record that this instance takes part in the
	// placement.
	joinTimeout = 3 * time.Second
	// joinRetryDelay is the wait between two attempts.
	joinRetryDelay = 500 * time.Millisecond
)

func newRecordID() string { return uuid.NewString() }

// followTable joins the placement. When the table of members changes, it passes the
// new table on to the book of limits and to the membership.
func (s *Server) followTable(ctx context.Context) error {
	var last placement.Table
	for {
		changed := s.placement.Changed()
		table, _ := s.placement.State().Table()
		if table.Epoch != last.Epoch {
			gone := removedMembers(last, table)
			s.book.SetTable(ctx, limitTable(table), gone)
			s.addTableMembers(table)
			for _, member := range gone {
				s.members.Forget(member.Name)
			}
			last = table
		}
		s.join(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(joinRetryDelay):
		}
	}
}

// join records that this instance takes part in the placement, unless it already
// does.
func (s *Server) join(ctx context.Context) {
	if s.fleet.stopping.Load() || !s.placement.Status().Ready || s.placement.State().HasJoined(s.process) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	previous, _ := s.placement.State().Entry(s.process.Name)
	err := s.placement.Append(ctx, placement.Record{
		ID:       newRecordID(),
		Presumes: previous.Joined,
		Writer:   s.process.Name,
		Body:     placement.EntryJoin{Process: s.process, Address: s.settings.PeersAddress},
	})
	if err != nil {
		s.log.WithError(err).Debug("joining the placement is not recorded yet")
		return
	}
	s.awaitJoined(ctx)
}

// awaitJoined waits until this instance has read back the record of its join, so
// that it does not join twice.
func (s *Server) awaitJoined(ctx context.Context) {
	for !s.placement.State().HasJoined(s.process) {
		changed := s.placement.Changed()
		if s.placement.State().HasJoined(s.process) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// maxUnitBlockMembers is the largest number of members whose shares of a limit are
// as equal as possible. More members get their shares in blocks, since a share of
// one request is mostly lent or borrowed.
const maxUnitBlockMembers = 9

func limitTable(table placement.Table) limit.Table {
	out := limit.Table{Epoch: int64(table.Epoch)}
	if len(table.Members) <= maxUnitBlockMembers {
		out.Block = 1
	}
	for _, entry := range table.Members {
		out.Members = append(out.Members, limit.Member{Name: entry.Name, Boot: entry.BootID})
	}
	return out
}

// removedMembers returns the members of a table that a later table no longer has.
// Their processes have ended, since a member is removed only then.
func removedMembers(older, newer placement.Table) []limit.Member {
	kept := make(map[placement.Process]bool)
	for _, entry := range newer.Members {
		kept[entry.Process] = true
	}
	var gone []limit.Member
	for _, entry := range older.Members {
		if !kept[entry.Process] {
			gone = append(gone, limit.Member{Name: entry.Name, Boot: entry.BootID})
		}
	}
	return gone
}

// addTableMembers adds the other entry instances of the table to the membership.
func (s *Server) addTableMembers(table placement.Table) {
	for _, entry := range table.Members {
		if entry.Name == s.process.Name {
			continue
		}
		s.members.Add(&peerpb.Instance{
			Name:       entry.Name,
			DataCentre: s.settings.DataCentre,
			Address:    entry.Address,
			Boot:       1,
			BootId:     entry.BootID,
		})
	}
}

// followConfig passes the limits of each new configuration on to the book of limits.
func (s *Server) followConfig(ctx context.Context) error {
	for {
		changed := s.config.Changed()
		state := s.config.State()
		limits := limit.Limits{Version: int64(state.Offset()), Backends: make(map[string]limit.Limit)}
		addresses := make(map[string]bool)
		for _, server := range state.Config().BackendServers {
			if server.DataCentre != s.settings.DataCentre {
				continue
			}
			limits.Backends[server.Name] = limit.Limit{
				InFlight:     server.MaxInFlight,
				Tokens:       server.MaxTokens,
				ColdInFlight: server.ColdInFlight,
			}
			addresses[server.Address] = true
		}
		if len(limits.Backends) > 0 {
			s.book.SetLimits(ctx, limits)
			s.pool.Keep(addresses)
			s.markServicesWarm(ctx)
		}
		s.invalidateRouting()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// markServicesWarm marks the workers of plain services as warm, so that their full
// limits apply. They report no boot ID and have no cold start.
func (s *Server) markServicesWarm(ctx context.Context) {
	for _, server := range s.config.State().Config().BackendServers {
		if server.DataCentre == s.settings.DataCentre && server.Service != "" {
			s.book.Observe(ctx, server.Name, serviceBootID, capacity.Warm)
		}
	}
}

// followPlatform registers this instance with the platform and reads the platform's
// list of instances at intervals. Since the list lags behind, only its statement
// that an instance is gone is relied on.
func (s *Server) followPlatform(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Heartbeat.Platform)
	defer ticker.Stop()
	for {
		if err := s.platform.Register(ctx, s.registration()); err != nil {
			s.log.WithError(err).Debug("platform did not take the registration")
		}
		if list, err := s.platform.Instances(ctx); err == nil {
			s.applyInstanceList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) registration() platform.Instance {
	state := platform.Live
	if s.fleet.stopping.Load() {
		state = platform.Leaving
	}
	return platform.Instance{
		Name:       s.settings.Name,
		Kind:       platform.Entry,
		Address:    s.settings.PeersAddress,
		DataCentre: s.settings.DataCentre,
		State:      state,
		BootID:     s.process.BootID,
	}
}

func (s *Server) applyInstanceList(list platform.InstanceList) {
	leaving := make(map[string]bool)
	gone := make(map[string]bool)
	var ended []placement.Process
	var listed []platform.Instance
	for _, instance := range list.Instances {
		switch {
		case instance.Kind == platform.Backend:
			leaving[instance.Name] = instance.State == platform.Leaving
			gone[instance.Name] = instance.State == platform.Gone
		case instance.State == platform.Gone:
			ended = append(ended, placement.Process{Name: instance.Name, BootID: instance.BootID})
			s.members.Forget(instance.Name)
		case instance.Name != s.settings.Name:
			listed = append(listed, instance)
			s.members.Add(&peerpb.Instance{
				Name:       instance.Name,
				DataCentre: instance.DataCentre,
				Address:    instance.Address,
				Boot:       1,
				BootId:     instance.BootID,
			})
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.leaving, s.fleet.gone, s.fleet.endedProcesses = leaving, gone, ended
	s.fleet.entryInstances, s.fleet.listKnown = listed, true
}
