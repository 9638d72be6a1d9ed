package neighbour

import "net/netip"

// packedPlaces is the form in which a relay sends its places. It has each name of a
// service or model once, and addresses in binary form, since these lists are most of
// what relays send.
type packedPlaces struct {
	_       struct{} `cbor:",toarray"`
	Names   []string // of services and models
	Entries []packedPlace
}

// packedPlace is an entry of packedPlaces.
type packedPlace struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Service int    // index in Names
	Model   int    // likewise
	Address []byte // as netip.AddrPort marshals it; empty if it is none
	Slots   int
	Cold    int64
}

func packPlaces(places []Place) *packedPlaces {
	if len(places) == 0 {
		return nil
	}
	packed := &packedPlaces{Entries: make([]packedPlace, 0, len(places))}
	indexes := map[string]int{}
	index := func(name string) int {
		i, ok := indexes[name]
		if !ok {
			i = len(packed.Names)
			indexes[name] = i
			packed.Names = append(packed.Names, name)
		}
		return i
	}
	for _, p := range places {
		entry := packedPlace{Server: p.Server, Service: index(p.Service), Model: index(p.Model), Slots: p.Slots, Cold: p.Cold}
		if address, err := netip.ParseAddrPort(p.Address); err == nil {
			entry.Address, _ = address.MarshalBinary() // never fails
		}
		packed.Entries = append(packed.Entries, entry)
	}
	return packed
}

// unpack returns the places, or an error if an entry is malformed.
func (p *packedPlaces) unpack() ([]Place, error) {
	places := make([]Place, 0, len(p.Entries))
	for _, e := range p.Entries {
		if e.Service < 0 || e.Service >= len(p.Names) || e.Model < 0 || e.Model >= len(p.Names) {
			return nil, newRefusal(Unreadable, "place %q names service %d or model %d of %d", e.Server, e.Service, e.Model, len(p.Names))
		}
		place := Place{Server: e.Server, Service: p.Names[e.Service], Model: p.Names[e.Model], Slots: e.Slots, Cold: e.Cold}
		if len(e.Address) > 0 {
			var address netip.AddrPort
			if err := address.UnmarshalBinary(e.Address); err != nil {
				return nil, newRefusal(Unreadable, "place %q has the address %x", e.Server, e.Address)
			}
			place.Address = address.String()
		}
		places = append(places, place)
	}
	return places, nil
}

// pack replaces the places of a relay's digest, and of those that it passes on, by their
// packed form.
func (d *Digest) pack() {
	d.Packed, d.Places = packPlaces(d.Places), nil
	relayed := make([]Digest, len(d.Relayed))
	for i, r := range d.Relayed {
		r.splitRuns()
		r.pack()
		relayed[i] = r
	}
	if len(relayed) > 0 {
		d.Relayed = relayed
	}
}

// unpack restores the places, with their runs, of a digest and of those that it passes on.
func (d *Digest) unpack() error {
	if d.Packed != nil {
		places, err := d.Packed.unpack()
		if err != nil {
			return err
		}
		d.Places, d.Packed = places, nil
	}
	if err := d.joinRuns(); err != nil {
		return err
	}
	for i := range d.Relayed {
		if err := d.Relayed[i].unpack(); err != nil {
			return err
		}
	}
	return nil
}

// splitRuns sets the encoded form of the runs of places.
func (d *Digest) splitRuns() {
	d.PlaceRuns, d.OtherPlaceRuns = runsOf(d.Places), nil
	for dataCentre, places := range d.OtherDataCentres {
		runs := runsOf(places)
		if runs == nil {
			continue
		}
		if d.OtherPlaceRuns == nil {
			d.OtherPlaceRuns = map[string][]int64{}
		}
		d.OtherPlaceRuns[dataCentre] = runs
	}
}

// joinRuns sets the runs of places from their encoded form.
func (d *Digest) joinRuns() error {
	if err := setRuns(d.Places, d.PlaceRuns); err != nil {
		return err
	}
	for dataCentre, runs := range d.OtherPlaceRuns {
		if err := setRuns(d.OtherDataCentres[dataCentre], runs); err != nil {
			return err
		}
	}
	d.PlaceRuns, d.OtherPlaceRuns = nil, nil
	return nil
}

// runsOf returns the runs of places, or nil if none is known.
func runsOf(places []Place) []int64 {
	var runs []int64
	for i, p := range places {
		if p.Run == 0 {
			continue
		}
		if runs == nil {
			runs = make([]int64, len(places))
		}
		runs[i] = p.Run
	}
	return runs
}

func setRuns(places []Place, runs []int64) error {
	if len(runs) > 0 && len(runs) != len(places) {
		return newRefusal(Unreadable, "%d runs for %d places", len(runs), len(places))
	}
	for i, run := range runs {
		places[i].Run = run
	}
	return nil
}
