package instance

import (
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/neighbour"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/listing"
	"github.com/chicorystall/chicorystall/pkg/roster"
)

const (
	// probeInterval is the pause between probes of a head that doesn't answer its
	// keeper. It allows several probes before the keeper gives the head up.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// reachableFor is how long such a head counts as reachable after it answered.
	reachableFor = time.Second
	// refusalLogInterval is how often a refused datagram is logged for each reason.
	// The metric counts all of them.
	refusalLogInterval = 10 * time.Second
)

// isStalled reports whether this instance or a peer observes that the streams of a head
// make no progress.
func (i *instance) isStalled(id string) bool {
	return slices.Contains(i.gateway.Progress.Stalled(), id) ||
		i.exchanger.AnyRecent(func(d *neighbour.Digest) bool { return slices.Contains(d.StalledHeads, id) })
}

// isActive reports whether a head has lately sent to this instance or a peer, or answered
// it.
func (i *instance) isActive(id string) bool {
	return slices.Contains(i.gateway.Progress.Moving(time.Now()), id) ||
		i.exchanger.AnyRecent(func(d *neighbour.Digest) bool {
			return slices.Contains(d.ProgressingHeads, id) || slices.Contains(d.ReachedHeads, id)
		})
}

// digest returns the digest that this instance sends to its peers. A keeper adds
// the places of its data centre and what it has read from the store.
func (i *instance) digest() neighbour.Digest {
	d := neighbour.Digest{
		Acting:           i.isKeeper(),
		Leaving:          i.stopping(),
		Served:           i.gateway.Served(),
		StalledHeads:     i.gateway.Progress.Stalled(),
		FailingHeads:     i.gateway.Places.Failing(),
		ProgressingHeads: i.gateway.Progress.Moving(time.Now()),
		Suspects:         suspectsOf(i.gateway.Suspects.Reports()),
	}
	for _, s := range i.gateway.Places.LeavingServers() {
		d.LeavingServers = append(d.LeavingServers, neighbour.LeavingServer{Server: s.ID, Run: s.Run})
	}
	if c := i.state.View().Catalog; c != nil {
		d.ConfigVersion = c.Version()
	}
	d.Limits = limitsOf(i.gateway.Places.LimitReports())
	i.mu.Lock()
	for id, at := range i.reachedAt {
		if time.Since(at) >= reachableFor {
			delete(i.reachedAt, id)
			continue
		}
		d.ReachedHeads = append(d.ReachedHeads, id)
	}
	i.mu.Unlock()
	own := i.gateway.Places.OwnLoads()
	for _, id := range slices.Sorted(maps.Keys(own)) {
		d.Load = append(d.Load, neighbour.Load{Place: id, Running: own[id].Running, Reading: own[id].PromptTokens})
	}
	d.StoreUnreachable = i.storeUnreachable()
	layout := i.layout()
	listAge := layout.Now - layout.List.LastRead().At
	if layout.Heads != nil && listAge < i.settings.relayAge() && !layout.List.HasLapsed() {
		d.Keeper, d.ListAge = true, listAge.Milliseconds()+1
		d.ListEnd, d.ListSince = layout.List.LastRead().End, layout.List.FollowedFrom()
		for _, g := range layout.List.RecentDepartures(layout.Now) {
			d.Gone = append(d.Gone, neighbour.Gone{Server: g.ID, Offset: g.Offset, Draining: g.Draining})
		}
		addUnreachableHeads(&d, i.keeper.SilentHeads())
		end, proof := i.state.OperatorProgress()
		d.OperatorEnd, d.OperatorAge = end, (i.state.clock()-proof).Milliseconds()+1
		i.addPlaces(&d, layout)
	}
	return d
}

// addPlaces adds the places of the keeper's data centre, and of those data centres
// from whose own keepers there is no recent announcement.
func (i *instance) addPlaces(d *neighbour.Digest, layout gateway.Layout) {
	for _, dataCentre := range i.settings.DataCentres {
		if dataCentre == i.settings.DataCentre || i.announcedRecently(dataCentre) {
			continue
		}
		if d.OtherDataCentres == nil {
			d.OtherDataCentres = map[string][]neighbour.Place{}
		}
		d.OtherDataCentres[dataCentre] = nil // announces that there are none, unless the loop below adds some
	}
	now := time.Now()
	for _, p := range layout.Places() {
		place := neighbour.Place{
			Server: p.ID, Service: p.Service, Model: p.Model, Address: p.Address, Slots: p.Slots,
			Cold: max(p.ColdUntil.Sub(now), 0).Milliseconds(), Run: p.Run,
		}
		if p.DataCentre == i.settings.DataCentre {
			d.Places = append(d.Places, place)
		} else if places, include := d.OtherDataCentres[p.DataCentre]; include {
			d.OtherDataCentres[p.DataCentre] = append(places, place)
		}
	}
}

// onDigest applies a peer's digest.
func (i *instance) onDigest(d neighbour.Digest) {
	loads := make(map[string]dispatch.Load, len(d.Load))
	for _, l := range d.Load {
		loads[l.Place] = dispatch.Load{Running: l.Running, PromptTokens: l.Reading}
	}
	if d.Relay && d.DataCentre == i.settings.DataCentre && i.followRelay(d.Instance) {
		// The loads that the members sent here before there was this relay are part of its sum.
		i.gateway.Places.DropPeerLoads()
	}
	switch {
	case d.Relay && d.Load == nil && d.DataCentre != i.settings.DataCentre: // left out
	case d.Relay:
		i.gateway.Places.SetPeerLoads("relay of "+d.DataCentre, loads)
	default:
		i.gateway.Places.SetPeerLoads(d.Instance, loads)
	}
	i.mergeLimits(d)
	i.state.NotePeerVersion(d.ConfigVersion)
	i.gateway.Places.SetFailing(d.FailingHeads)
	for _, s := range d.LeavingServers {
		if i.gateway.Places.NotePeerLeaving(dispatch.LeavingServer{ID: s.Server, Run: s.Run}) {
			i.log.Info("place barred", telemetry.Fields{"place": s.Server, "run": s.Run, "cause": dispatch.Leaving.String(), "told_by": d.Instance})
		}
	}
	if len(d.Suspects) > 0 {
		i.gateway.Suspects.Merge(d.Instance, reportsOf(d))
	}
	if len(d.SilentHeads) > 0 {
		select {
		case i.silentHeads <- struct{}{}:
		default:
		}
	}
	if !d.Keeper {
		return
	}
	if sent, ok := i.exchanger.EchoSentAt(d); ok && d.DataCentre == i.settings.DataCentre {
		i.state.ApplyKeeperProof(d.OperatorEnd, sent-time.Duration(d.OperatorAge)*time.Millisecond)
	}
	announcement := listing.Announcement{
		Statement: listing.Statement{
			Source: listing.Word, From: d.Instance, End: d.ListEnd, At: i.state.clock() - d.BufferedFor - time.Duration(d.ListAge)*time.Millisecond,
		},
		FollowedFrom: d.ListSince,
	}
	for _, g := range d.Gone {
		announcement.Departures = append(announcement.Departures, listing.Departure{ID: g.Server, Offset: g.Offset, Draining: g.Draining})
	}
	changed := i.applyPlaces(d.DataCentre, d.Places, announcement)
	for dataCentre, places := range d.OtherDataCentres {
		// A keeper reads the list itself. If it accepted these places, it would stop
		// announcing the data centre.
		if dataCentre != i.settings.DataCentre && !i.announcedRecently(dataCentre) && !i.isKeeper() {
			changed = i.applyPlaces(dataCentre, places, announcement) || changed
		}
	}
	if changed {
		i.rebuildPlaces()
	}
}

// followRelay records which instance is the relay of this data centre and reports whether
// that is news.
func (i *instance) followRelay(relay string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	isNew := i.relay != relay
	i.relay = relay
	return isNew
}

// onRefuse counts a refused datagram. It logs at most one per refusalLogInterval for
// each reason.
func (i *instance) onRefuse(from netip.Addr, reason neighbour.Refusal, err error) {
	i.metrics.RejectedDigests.WithLabelValues(reason.String()).Inc()
	i.mu.Lock()
	last, logged := i.refusalLoggedAt[reason]
	suppressed := logged && time.Since(last) < refusalLogInterval
	if !suppressed {
		i.refusalLoggedAt[reason] = time.Now()
	}
	i.mu.Unlock()
	if !suppressed {
		i.log.Warn("datagram refused", telemetry.Fields{"from": from.String(), "reason": reason.String(), "error": err.Error()})
	}
}

// applyPlaces applies a keeper's announcement of a data centre's places and reports
// whether the roster or the places have changed.
func (i *instance) applyPlaces(dataCentre string, places []neighbour.Place, announcement listing.Announcement) bool {
	now := time.Now()
	for _, p := range places {
		announcement.Places = append(announcement.Places, dispatch.Place{
			ID: p.Server, Service: p.Service, Model: p.Model, Address: p.Address, Slots: p.Slots, Run: p.Run,
			DataCentre: dataCentre, ColdUntil: now.Add(time.Duration(p.Cold) * time.Millisecond),
		})
	}
	return i.state.ApplyAnnouncement(dataCentre, announcement)
}

// announcedRecently reports whether a data centre's places were announced from a
// list that a keeper has read within relayAge.
func (i *instance) announcedRecently(dataCentre string) bool {
	announcement, ok := i.state.List().Announcement(dataCentre)
	return ok && i.state.clock()-announcement.At < i.settings.relayAge()
}

// workersRelayed reports whether keepers announce all data centres, so that this
// instance need not read the workers' entries itself.
func (i *instance) workersRelayed() bool {
	return !i.isKeeper() && i.allAnnounced()
}

// allAnnounced reports whether the places of all data centres were announced recently.
func (i *instance) allAnnounced() bool {
	return !slices.ContainsFunc(i.settings.DataCentres, func(dataCentre string) bool { return !i.announcedRecently(dataCentre) })
}

// layout returns the information from which this instance's places are computed.
func (i *instance) layout() gateway.Layout {
	l := gateway.Layout{
		Catalog: i.state.View().Catalog, List: i.state.List(), Now: i.state.clock(), TakenOut: i.state.TakenOut,
	}
	if heads, known := i.keeper.Heads(); known && i.isKeeper() {
		l.HeadsDataCentre, l.Heads = i.settings.DataCentre, map[string]roster.Membership{}
		for _, h := range heads {
			l.Heads[h.ID] = h.Membership
		}
	}
	return l
}

// recordOpenGroups records whether groups were open when the workers' entries were
// first read.
func (i *instance) recordOpenGroups(workers *roster.Roster) {
	if workers == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.entriesRead {
		return
	}
	i.entriesRead = true
	i.groupsOpenAtStart = slices.ContainsFunc(workers.All(), func(s roster.Server) bool {
		return s.IsHead() && s.Membership.State == roster.Open
	})
}

// rebuildPlaces computes and sets the places, and returns them.
func (i *instance) rebuildPlaces() []gateway.UsablePlace {
	i.rebuilding.Lock() // ensures that the newest places are set last
	defer i.rebuilding.Unlock()
	l := i.layout()
	i.recordOpenGroups(l.List.Roster())
	usable := l.UsablePlaces()
	places := make([]dispatch.Place, len(usable))
	for n, c := range usable {
		places[n] = c.Place
	}
	i.setPlaces(places)
	i.usability.update(i.log, l, usable)
	return usable
}

// setPlaces sets the places that requests are sent to. It leaves cold places out
// while the number of instances that share their rate is unknown.
func (i *instance) setPlaces(places []dispatch.Place) {
	if i.share() == 0 {
		now := time.Now()
		places = slices.DeleteFunc(slices.Clone(places), func(p dispatch.Place) bool {
			return p.ColdRate > 0 && now.Before(p.ColdUntil)
		})
	}
	i.gateway.Places.Set(places, gateway.Peers{Instance: i.settings.Name, Count: i.exchanger.ProcessCount(), Lag: i.exchanger.RelayLag()})
}

// refreshPlaces periodically rebuilds the places and closes idle connections that are
// too old or belong to no place.
func (i *instance) refreshPlaces(ctx context.Context) error {
	for {
		interval := placesInterval
		if i.exchanger.UsesRelays() {
			interval = relayPlacesInterval
		}
		if sleep(ctx, interval); ctx.Err() != nil {
			return nil
		}
		known := map[exchange.Server]bool{}
		for _, p := range i.rebuildPlaces() {
			known[exchange.Server{ID: p.ID, Address: p.Address}] = true
		}
		i.gateway.Pool.CloseUnused(time.Now(), func(s exchange.Server) bool { return known[s] })
	}
}

// probeUnreachableHeads asks the heads that don't answer their keepers for a report.
// The fault may affect only the connection between head and keeper.
func (i *instance) probeUnreachableHeads(ctx context.Context) error {
	for ctx.Err() == nil {
		if !i.exchanger.AnyRecent(func(d *neighbour.Digest) bool { return len(d.SilentHeads) > 0 }) {
			select {
			case <-ctx.Done():
				return nil
			case <-i.silentHeads:
			}
		}
		sleep(ctx, probeInterval)
		var group errgroup.Group
		processes := i.exchanger.ProcessCount()
		for _, d := range i.exchanger.RecentDigests() {
			for _, head := range unreachableHeads(d) {
				if !probes(i.settings.Name, head.ID, processes) {
					continue
				}
				group.Go(func() error {
					i.probeHead(ctx, head)
					return nil
				})
			}
		}
		_ = group.Wait() // always nil, since a head that doesn't answer is no error
	}
	return nil
}

// addUnreachableHeads adds heads that don't answer this keeper to its digest.
func addUnreachableHeads(d *neighbour.Digest, heads []roster.Server) {
	for _, h := range heads {
		d.SilentHeads = append(d.SilentHeads, neighbour.SilentHead{Server: h.ID, Address: h.Address})
		d.SilentHeadStarts = append(d.SilentHeadStarts, h.StartUnixMilli)
	}
}

// unreachableHeads returns the heads that don't answer the sender of a digest.
func unreachableHeads(d neighbour.Digest) []roster.Server {
	heads := make([]roster.Server, 0, len(d.SilentHeads))
	for n, s := range d.SilentHeads {
		head := roster.Server{ID: s.Server, Address: s.Address}
		if n < len(d.SilentHeadStarts) {
			head.StartUnixMilli = d.SilentHeadStarts[n]
		}
		heads = append(heads, head)
	}
	return heads
}

// probers is about how many instances probe a head that doesn't answer its keeper.
const probers = 10

// probes reports whether an instance is among those that probe a head.
func probes(instance, head string, processes int) bool {
	draw := float64(xxhash.Sum64String(instance+"/"+head)) / math.MaxUint64
	return draw*float64(processes) < probers
}

func (i *instance) probeHead(ctx context.Context, head roster.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := i.platform.Report(ctx, head)
	if err != nil || !report.IsHead() || report.Membership.State == roster.Broken {
		return // no answer, or the worker serves no group
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachedAt[head.ID] = time.Now()
}
