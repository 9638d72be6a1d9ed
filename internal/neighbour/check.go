package neighbour

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

//go:generate go tool stringer -type=Refusal -linecomment

const (
	maxDigest = 60 << 10 // of a UDP datagram
	// maxEntries bounds the entries of all lists of a digest: some lists of one
	// entry for each of the 840 workers of the target size.
	maxEntries = 4096
	// maxDataCentres bounds the data centres that a digest tells of; the target
	// size has 5.
	maxDataCentres = 64
	maxName        = 255 // bytes of a name or address, as of a key of the platform's store
	maxNesting     = 8   // levels of lists and maps, which a digest has 4 of
	// maxAhead is how far in the future a start may lie on this instance's clock:
	// some times the 5 s by which the platform lets clocks differ.
	maxAhead = time.Minute
	// maxAge bounds the ages that a digest states. What was never read is as old
	// as the machine's last start; time.Duration ends at 292 years.
	maxAge     = 50 * 365 * 24 * time.Hour
	maxCold    = 24 * time.Hour // of a place; no cold start takes as long
	maxCount   = math.MaxInt32  // requests, slots and tokens, which are summed up
	maxSeq     = 1 << 48        // at ten a second more than any process sends
	maxPeers   = 1024           // instances; the target size has 360
	maxHeld    = 32 << 20       // bytes of the last digests of all; 360 with some hundred entries take a third
	entryBytes = 96             // of memory for an entry besides its texts
)

// Refusal is why a datagram is not taken for a digest.
type Refusal int

// The reasons.
const (
	TooLong           Refusal = iota // too-long
	Unreadable                       // unreadable
	TooManyEntries                   // too-many-entries
	BadName                          // bad-name
	OutOfRange                       // out-of-range
	ForeignDataCentre                // foreign-data-centre
	NameTaken                        // name-taken
	TooManyInstances                 // too-many-instances
	TooMuchMemory                    // too-much-memory
)

// refused is the error of a datagram that is not taken.
type refused struct {
	reason Refusal
	error
}

func refuse(reason Refusal, format string, args ...any) error {
	return refused{reason, errors.Newf("digest: "+format, args...)}
}

// reasonOf returns why a datagram was refused.
func reasonOf(err error) Refusal {
	var r refused
	if errors.As(err, &r) {
		return r.reason
	}
	return Unreadable
}

// decoding bounds what a datagram may make the decoder do.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxEntries,
		MaxMapPairs:      maxDataCentres,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// check refuses digests that no instance sends.
func (d *Digest) check(now time.Time) error {
	if entries := d.entries(); entries > maxEntries {
		return refuse(TooManyEntries, "%d entries, at most %d", entries, maxEntries)
	}
	if d.Instance == "" || d.DataCentre == "" || !d.eachText(func(text string) bool { return len(text) <= maxName }) {
		return refuse(BadName, "a name is missing or longer than %d bytes", maxName)
	}
	switch {
	case d.Started <= 0 || d.Started > now.Add(maxAhead).UnixMilli(), d.Seq == 0 || d.Seq > maxSeq:
		return refuse(OutOfRange, "started at %d, number %d", d.Started, d.Seq)
	case !isAge(d.ListAge), !isAge(d.OperatorAge), d.OperatorEnd < 0, d.ListEnd < 0, d.ListSince < 0:
		return refuse(OutOfRange, "list's age %d, operator's age %d and end %d", d.ListAge, d.OperatorAge, d.OperatorEnd)
	}
	for _, l := range d.Load {
		if !isCount(l.Running) || !isCount(l.Reading) {
			return refuse(OutOfRange, "load %d, %d", l.Running, l.Reading)
		}
	}
	for p := range d.places() {
		if !isCount(p.Slots) || p.Cold < 0 || p.Cold > maxCold.Milliseconds() {
			return refuse(OutOfRange, "place with %d slots, cold for %d ms", p.Slots, p.Cold)
		}
	}
	return nil
}

// clamp brings what a place was reported with into the range that others take.
func (p Place) clamp() Place {
	p.Slots = min(max(p.Slots, 0), maxCount)
	p.Cold = min(max(p.Cold, 0), maxCold.Milliseconds())
	return p
}

func isAge(ms int64) bool   { return ms >= 0 && ms <= maxAge.Milliseconds() }
func isCount(n int) bool    { return n >= 0 && n <= maxCount }
func (d *Digest) size() int { return d.entries()*entryBytes + d.textBytes() }

// entries returns how many entries all lists have.
func (d *Digest) entries() int {
	n := len(d.Load) + len(d.StalledHeads) + len(d.ProgressingHeads) + len(d.SilentHeads) + len(d.ReachedHeads) + len(d.SilentHeadStarts) + len(d.Gone) + len(d.Echoes) + len(d.OtherDataCentres)
	for range d.places() {
		n++
	}
	return n
}

// places are those of all data centres.
func (d *Digest) places() func(yield func(Place) bool) {
	return func(yield func(Place) bool) {
		for _, p := range d.Places {
			if !yield(p) {
				return
			}
		}
		for _, places := range d.OtherDataCentres {
			for _, p := range places {
				if !yield(p) {
					return
				}
			}
		}
	}
}

func (d *Digest) textBytes() int {
	n := 0
	d.eachText(func(text string) bool { n += len(text); return true })
	return n
}

// eachText calls a function with each name and address until it returns false,
// and reports whether it never did.
func (d *Digest) eachText(do func(string) bool) bool {
	all := func(texts ...string) bool {
		for _, t := range texts {
			if !do(t) {
				return false
			}
		}
		return true
	}
	if !all(d.Instance, d.DataCentre) || !all(d.StalledHeads...) || !all(d.ProgressingHeads...) || !all(d.ReachedHeads...) {
		return false
	}
	for _, l := range d.Load {
		if !do(l.Place) {
			return false
		}
	}
	for _, s := range d.SilentHeads {
		if !all(s.Server, s.Address) {
			return false
		}
	}
	for _, g := range d.Gone {
		if !do(g.Server) {
			return false
		}
	}
	for _, e := range d.Echoes {
		if !do(e.Instance) {
			return false
		}
	}
	for dataCentre := range d.OtherDataCentres {
		if !do(dataCentre) {
			return false
		}
	}
	for p := range d.places() {
		if !all(p.Server, p.Service, p.Model, p.Address) {
			return false
		}
	}
	return true
}
