package instance

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

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
	// askSilentInterval is how often a head that is silent to a keeper is asked,
	// some times while that keeper waits for it.
	askSilentInterval = 250 * time.Millisecond
	askSilentTimeout  = 200 * time.Millisecond
	// reachedFor is how long such a head counts as serving after it answered.
	reachedFor = time.Second
	// refusedInterval is how often datagrams that are refused for one reason are
	// logged; the counter has all.
	refusedInterval = 10 * time.Second
)

func stalledOf(d neighbour.Digest) []string { return d.StalledHeads }
func movingOf(d neighbour.Digest) []string  { return slices.Concat(d.ProgressingHeads, d.ReachedHeads) }

// seen reports whether this instance or a neighbour names a head.
func (i *instance) seen(id string, own []string, of func(neighbour.Digest) []string) bool {
	if slices.Contains(own, id) {
		return true
	}
	return slices.ContainsFunc(i.net.RecentDigests(), func(d neighbour.Digest) bool { return slices.Contains(of(d), id) })
}

// digest returns what this instance tells its neighbours. A keeper adds the
// places of its data centre and what it has read from the store.
func (i *instance) digest() neighbour.Digest {
	d := neighbour.Digest{
		Leaving:          i.stopping(),
		Served:           i.gateway.Served(),
		StalledHeads:     i.gateway.Progress.Stalled(),
		ProgressingHeads: i.gateway.Progress.Moving(time.Now()),
	}
	i.mu.Lock()
	for id, at := range i.reached {
		if time.Since(at) >= reachedFor {
			delete(i.reached, id)
			continue
		}
		d.ReachedHeads = append(d.ReachedHeads, id)
	}
	i.mu.Unlock()
	own := i.gateway.Places.OwnLoads()
	for _, id := range slices.Sorted(maps.Keys(own)) {
		d.Load = append(d.Load, neighbour.Load{Place: id, Running: own[id].Running, Reading: own[id].PromptTokens})
	}
	d.StoreUnreachable = i.blind()
	layout := i.layout()
	listAge := layout.Now - layout.List.LastRead().At
	if layout.Heads != nil && listAge < relayTrust && !layout.List.HasLapsed() {
		d.Keeper, d.ListAge = true, listAge.Milliseconds()+1
		d.ListEnd, d.ListSince = layout.List.LastRead().End, layout.List.FollowedFrom()
		for _, g := range layout.List.RecentDepartures(layout.Now) {
			d.Gone = append(d.Gone, neighbour.Gone{Server: g.ID, Offset: g.Offset, Draining: g.Draining})
		}
		tellSilent(&d, i.keeper.Silent())
		end, proof := i.state.Operator()
		d.OperatorEnd, d.OperatorAge = end, (i.state.clock()-proof).Milliseconds()+1
		i.tellPlaces(&d, layout)
	}
	return d
}

// tellPlaces adds the places of the keeper's data centre, and of those whose own
// keepers are not heard.
func (i *instance) tellPlaces(d *neighbour.Digest, layout gateway.Layout) {
	for _, dataCentre := range i.settings.DataCentres {
		if dataCentre == i.settings.DataCentre || i.toldLately(dataCentre) {
			continue
		}
		if d.OtherDataCentres == nil {
			d.OtherDataCentres = map[string][]neighbour.Place{}
		}
		d.OtherDataCentres[dataCentre] = nil // none, unless some follow
	}
	now := time.Now()
	for _, p := range layout.Places() {
		told := neighbour.Place{
			Server: p.ID, Service: p.Service, Model: p.Model, Address: p.Address, Slots: p.Slots,
			Cold: max(p.ColdUntil.Sub(now), 0).Milliseconds(),
		}
		if p.DataCentre == i.settings.DataCentre {
			d.Places = append(d.Places, told)
		} else if places, tell := d.OtherDataCentres[p.DataCentre]; tell {
			d.OtherDataCentres[p.DataCentre] = append(places, told)
		}
	}
}

// onDigest takes over what a neighbour tells.
func (i *instance) onDigest(d neighbour.Digest) {
	loads := make(map[string]dispatch.Load, len(d.Load))
	for _, l := range d.Load {
		loads[l.Place] = dispatch.Load{Running: l.Running, PromptTokens: l.Reading}
	}
	i.gateway.Places.SetRemote(d.Instance, loads)
	if !d.Keeper {
		return
	}
	if sent, ok := i.net.EchoSentAt(d); ok && d.DataCentre == i.settings.DataCentre {
		i.state.Relay(d.OperatorEnd, sent-time.Duration(d.OperatorAge)*time.Millisecond)
	}
	told := listing.Announcement{
		Statement: listing.Statement{
			Source: listing.Word, From: d.Instance, End: d.ListEnd, At: i.state.clock() - d.BufferedFor - time.Duration(d.ListAge)*time.Millisecond,
		},
		FollowedFrom: d.ListSince,
	}
	for _, g := range d.Gone {
		told.Departures = append(told.Departures, listing.Departure{ID: g.Server, Offset: g.Offset, Draining: g.Draining})
	}
	changed := i.takePlaces(d.DataCentre, d.Places, told)
	for dataCentre, places := range d.OtherDataCentres {
		// A keeper reads the list itself, and goes on telling what it has.
		if dataCentre != i.settings.DataCentre && !i.toldLately(dataCentre) && !i.acting() {
			changed = i.takePlaces(dataCentre, places, told) || changed
		}
	}
	if changed {
		i.layOut()
	}
}

// onRefuse counts a datagram that was not taken, and logs one now and then.
func (i *instance) onRefuse(from netip.Addr, reason neighbour.Refusal, err error) {
	i.metrics.Digests.WithLabelValues(reason.String()).Inc()
	i.mu.Lock()
	last, logged := i.refused[reason]
	quiet := logged && time.Since(last) < refusedInterval
	if !quiet {
		i.refused[reason] = time.Now()
	}
	i.mu.Unlock()
	if !quiet {
		i.log.Warn("datagram refused", telemetry.Fields{"from": from.String(), "reason": reason.String(), "error": err.Error()})
	}
}

// takePlaces takes over the places of a data centre that a keeper told, and
// reports whether there are others than before.
func (i *instance) takePlaces(dataCentre string, places []neighbour.Place, told listing.Announcement) bool {
	now := time.Now()
	for _, p := range places {
		told.Places = append(told.Places, dispatch.Place{
			ID: p.Server, Service: p.Service, Model: p.Model, Address: p.Address, Slots: p.Slots,
			DataCentre: dataCentre, ColdUntil: now.Add(time.Duration(p.Cold) * time.Millisecond),
		})
	}
	return i.state.Tell(dataCentre, told)
}

// toldLately reports whether the places of a data centre follow from a list that
// a keeper has read lately.
func (i *instance) toldLately(dataCentre string) bool {
	told, ok := i.state.Listing().Announcement(dataCentre)
	return ok && i.state.clock()-told.At < relayTrust
}

// workersRelayed reports whether the keepers of all data centres are heard, so
// that this instance need not follow the workers' entries itself.
func (i *instance) workersRelayed() bool {
	return !i.acting() && i.relayed()
}

// relayed reports whether the places of all data centres were told lately.
func (i *instance) relayed() bool {
	return !slices.ContainsFunc(i.settings.DataCentres, func(dataCentre string) bool { return !i.toldLately(dataCentre) })
}

// layout returns what this instance's places follow from.
func (i *instance) layout() gateway.Layout {
	l := gateway.Layout{
		Catalog: i.state.View().Catalog, List: i.state.Listing(), Now: i.state.clock(), Closed: i.state.Closed,
	}
	if heads, known := i.keeper.Heads(); known && i.acting() {
		l.HeadsDataCentre, l.Heads = i.settings.DataCentre, map[string]roster.Membership{}
		for _, h := range heads {
			l.Heads[h.ID] = h.Membership
		}
	}
	return l
}

// noteFormed notes whether groups are open when the workers' entries are first read.
func (i *instance) noteFormed(workers *roster.Roster) {
	if workers == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.listed {
		return
	}
	i.listed = true
	i.formed = slices.ContainsFunc(workers.All(), func(s roster.Server) bool {
		return s.IsHead() && s.Membership.State == roster.Open
	})
}

// layOut makes the places anew, and returns them.
func (i *instance) layOut() []gateway.UsablePlace {
	i.laying.Lock() // so that the newest is set last
	defer i.laying.Unlock()
	l := i.layout()
	i.noteFormed(l.List.Roster())
	choices := l.UsablePlaces()
	places := make([]dispatch.Place, len(choices))
	for n, c := range choices {
		places[n] = c.Place
	}
	i.setPlaces(places)
	i.usable.note(i.log, l, choices)
	return choices
}

// setPlaces sets the places of requests. While it is not known how many instances
// divide the rate of a cold one, such places are left out.
func (i *instance) setPlaces(places []dispatch.Place) {
	if i.share() == 0 {
		now := time.Now()
		places = slices.DeleteFunc(slices.Clone(places), func(p dispatch.Place) bool {
			return p.ColdRate > 0 && now.Before(p.ColdUntil)
		})
	}
	i.gateway.Places.Set(places, i.net.ProcessCount())
}

// refresh makes the places anew now and then, and drops connections that are of
// no more use.
func (i *instance) refresh(ctx context.Context) error {
	ticker := time.NewTicker(layoutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		known := map[exchange.Server]bool{}
		for _, p := range i.layOut() {
			known[exchange.Server{ID: p.ID, Address: p.Address}] = true
		}
		i.gateway.Pool.Keep(time.Now(), func(s exchange.Server) bool { return known[s] })
	}
}

// askSilent asks the heads that don't answer their keepers, which may be cut
// off from those only.
func (i *instance) askSilent(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, askSilentInterval)
		var group errgroup.Group
		for _, d := range i.net.RecentDigests() {
			for _, head := range silentHeads(d) {
				group.Go(func() error {
					i.askSilentHead(ctx, head)
					return nil
				})
			}
		}
		_ = group.Wait() // a head that doesn't answer is what was expected
	}
	return nil
}

// tellSilent adds the heads that don't answer a keeper.
func tellSilent(d *neighbour.Digest, heads []roster.Server) {
	for _, h := range heads {
		d.SilentHeads = append(d.SilentHeads, neighbour.SilentHead{Server: h.ID, Address: h.Address})
		d.SilentHeadStarts = append(d.SilentHeadStarts, h.Born)
	}
}

// silentHeads returns the heads that don't answer a keeper.
func silentHeads(d neighbour.Digest) []roster.Server {
	heads := make([]roster.Server, 0, len(d.SilentHeads))
	for n, s := range d.SilentHeads {
		head := roster.Server{ID: s.Server, Address: s.Address}
		if n < len(d.SilentHeadStarts) {
			head.Born = d.SilentHeadStarts[n]
		}
		heads = append(heads, head)
	}
	return heads
}

func (i *instance) askSilentHead(ctx context.Context, head roster.Server) {
	ctx, cancel := context.WithTimeout(ctx, askSilentTimeout)
	defer cancel()
	report, err := i.platform.Report(ctx, head)
	if err != nil || !report.IsHead() || report.Membership.State == roster.Broken {
		return // it serves no group
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reached[head.ID] = time.Now()
}
