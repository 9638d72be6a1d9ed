package neighbour

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullPlacesEvery is the number of digests of a relay of which one has all its
	// places. The others leave them out if they have not changed.
	fullPlacesEvery = 5
	// changedPlacesRepeats is the number of digests in a row that have all places after
	// these changed, since some may be lost.
	changedPlacesRepeats = 3
	// relayedLoadsEvery is the number of digests of which one has the loads of the other
	// data centres.
	relayedLoadsEvery = 2
	// maxCachedRelays bounds the relays whose places are kept.
	maxCachedRelays = 2 * maxDataCentres
)

// placesVersion returns a hash of places without their cold starts, which change all
// the time.
func placesVersion(places []Place) uint64 {
	h := xxhash.New()
	var number [8]byte
	for _, p := range places {
		for _, text := range []string{p.Server, p.Service, p.Model, p.Address} {
			_, _ = h.WriteString(text)
			_, _ = h.Write([]byte{0})
		}
		for _, n := range []int64{int64(p.Slots), p.Run} {
			binary.LittleEndian.PutUint64(number[:], uint64(n))
			_, _ = h.Write(number[:])
		}
	}
	return h.Sum64() | 1 // not 0, which means that there is no version
}

// placesTurns decides which digests have all places. The zero value is ready to use.
type placesTurns struct {
	version   uint64
	remaining int // digests that still have all places after a change
}

// include reports whether the digest of a tick has all places.
func (p *placesTurns) include(version, tick uint64) bool {
	if version != p.version {
		p.version, p.remaining = version, changedPlacesRepeats
	}
	if p.remaining > 0 {
		p.remaining--
		return true
	}
	return tick%fullPlacesEvery == 0
}

// cachedPlaces holds the places of a relay's last digest that had them.
type cachedPlaces struct {
	started    int64
	version    uint64
	places     []Place
	receivedAt time.Time
}

// fillPlaces adds the places that a relay left out of a digest, or stores those that it
// has. A digest whose places are not known says nothing about them. The caller holds
// the lock.
func (x *Exchanger) fillPlaces(d *Digest, now time.Time) {
	if d.PlacesVersion == 0 {
		return
	}
	if d.HasPlaces {
		if x.places == nil {
			x.places = map[string]cachedPlaces{}
		}
		if _, known := x.places[d.Instance]; !known && len(x.places) >= maxCachedRelays {
			maps.DeleteFunc(x.places, func(_ string, c cachedPlaces) bool { return now.Sub(c.receivedAt) > processesFor })
		}
		if len(x.places) < maxCachedRelays {
			x.places[d.Instance] = cachedPlaces{started: d.Started, version: d.PlacesVersion, places: d.Places, receivedAt: now}
		}
		return
	}
	c, ok := x.places[d.Instance]
	if !ok || c.started != d.Started || c.version != d.PlacesVersion {
		d.Keeper = false
		return
	}
	elapsed := now.Sub(c.receivedAt).Milliseconds()
	d.Places = slices.Clone(c.places)
	for i := range d.Places {
		d.Places[i].Cold = max(d.Places[i].Cold-elapsed, 0)
	}
}

// summarize adds what the members of this relay's data centre sent to its digest.
func summarize(d *Digest, members []Digest) {
	for _, m := range members {
		d.Served = d.Served || m.Served
		d.StalledHeads = append(d.StalledHeads, m.StalledHeads...)
		d.ProgressingHeads = append(d.ProgressingHeads, m.ProgressingHeads...)
		d.ReachedHeads = append(d.ReachedHeads, m.ReachedHeads...)
		d.FailingHeads = append(d.FailingHeads, m.FailingHeads...)
		d.LeavingServers = append(d.LeavingServers, m.LeavingServers...)
	}
	d.FailingHeads = unique(d.FailingHeads)
	slices.SortFunc(d.LeavingServers, func(a, b LeavingServer) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Run, b.Run))
	})
	d.LeavingServers = slices.Compact(d.LeavingServers)
	d.StalledHeads, d.ProgressingHeads, d.ReachedHeads = unique(d.StalledHeads), unique(d.ProgressingHeads), unique(d.ReachedHeads)
}

func unique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// loadSum is the load of several instances.
type loadSum map[string]Load

func (s loadSum) add(loads []Load) {
	for _, l := range loads {
		sum := s[l.Place]
		s[l.Place] = Load{Place: l.Place, Running: sum.Running + l.Running, Reading: sum.Reading + l.Reading}
	}
}

// without returns the sum without the loads of one of the instances, by place.
func (s loadSum) without(loads []Load) []Load {
	rest := maps.Clone(s)
	for _, l := range loads {
		sum := rest[l.Place]
		rest[l.Place] = Load{Place: l.Place, Running: max(sum.Running-l.Running, 0), Reading: max(sum.Reading-l.Reading, 0)}
	}
	list := make([]Load, 0, len(rest))
	for _, place := range slices.Sorted(maps.Keys(rest)) {
		if l := rest[place]; l.Running > 0 || l.Reading > 0 {
			list = append(list, l)
		}
	}
	return list
}

// relayed returns the last digests of the other relays, as this relay passes them on.
// The time since they were received is added to the ages in them. The caller holds the
// lock.
func (x *Exchanger) relayed(now time.Time, tick uint64) []Digest {
	var digests []Digest
	for _, p := range x.peers {
		if !p.isRelay(now) || p.lastDigest.DataCentre == x.DataCentre {
			continue
		}
		d := p.lastDigest
		age := (now.Sub(p.receivedAt) + d.BufferedFor).Milliseconds()
		d.ListAge, d.OperatorAge = d.ListAge+age, d.OperatorAge+age
		aged := limitSum{}
		aged.add(d.Limits, time.Duration(age)*time.Millisecond)
		d.Limits = aged.without(nil)
		d.Echoes, d.Relayed, d.BufferedFor = nil, nil, 0
		if !d.Keeper {
			d.PlacesVersion = 0
		}
		d.HasPlaces = d.PlacesVersion != 0 && p.turns.include(d.PlacesVersion, tick)
		if !d.HasPlaces {
			d.Places = nil
		}
		if tick%relayedLoadsEvery != 0 {
			d.Load = nil
		}
		d.OtherDataCentres, d.StalledHeads, d.ProgressingHeads, d.ReachedHeads, d.SilentHeads, d.SilentHeadStarts = nil, nil, nil, nil, nil, nil
		d.Suspects = nil // those of this relay include them
		digests = append(digests, d)
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	return digests
}
