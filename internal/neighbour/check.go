package neighbour

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

//go:generate go tool stringer -type=Refusal -linecomment

const (
	maxDigestBytes = 60 << 10 // fits into one UDP datagram
	// maxEntries is the maximum number of entries in all lists of a digest together.
	// It allows several lists with an entry for each of the 840 workers of the
	// target size.
	maxEntries = 4096
	// maxDataCentres is the maximum number of data centres in a digest; the target
	// size has 5.
	maxDataCentres   = 64
	maxNameBytes     = 255 // for names and addresses, as for keys of the platform's store
	maxNestingLevels = 8   // of lists and maps; a digest uses 4
	// maxClockSkew is how far ahead of this instance's clock a start time may be. It
	// is several times the 5 s by which the platform allows clocks to differ.
	maxClockSkew = time.Minute
	// maxAge is the maximum age in a digest. The age of data that was never read is
	// the time since the machine booted. time.Duration overflows at 292 years.
	maxAge              = 50 * 365 * 24 * time.Hour
	maxCold             = 24 * time.Hour // maximum rest of a place's cold start; none takes as long
	maxCount            = math.MaxInt32  // maximum of requests, slots or tokens, low enough for sums not to overflow
	maxSeq              = 1 << 48        // more digests than a process can send at 10 per second
	maxPeers            = 1024           // maximum of known instances; the target size has 360
	maxTotalDigestBytes = 32 << 20       // for the last digests of all instances; 360 digests with a few hundred entries take a third
	entryBytes          = 96             // memory of an entry without its strings
)

// Refusal is the reason for which a datagram is refused.
type Refusal int

// Reasons for refusing a datagram.
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

// refusalError is the error for a refused datagram.
type refusalError struct {
	reason Refusal
	error
}

func newRefusal(reason Refusal, format string, args ...any) error {
	return refusalError{reason, errors.Newf("digest: "+format, args...)}
}

// reasonOf returns the reason in a refusalError, or Unreadable for other errors.
func reasonOf(err error) Refusal {
	var r refusalError
	if errors.As(err, &r) {
		return r.reason
	}
	return Unreadable
}

// decMode limits the work and memory that a datagram can cause in the decoder.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxEntries,
		MaxMapPairs:      maxDataCentres,
		MaxNestedLevels:  maxNestingLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// check returns an error for a digest that no instance sends.
func (d *Digest) check(now time.Time) error {
	if entries := d.entryCount(); entries > maxEntries {
		return newRefusal(TooManyEntries, "%d entries exceed the limit of %d", entries, maxEntries)
	}
	if d.Instance == "" || d.DataCentre == "" || !d.eachString(func(s string) bool { return len(s) <= maxNameBytes }) {
		return newRefusal(BadName, "a name or address is longer than %d bytes, or the name of the instance or data centre is missing", maxNameBytes)
	}
	switch {
	case d.Started <= 0 || d.Started > now.Add(maxClockSkew).UnixMilli(), d.Seq == 0 || d.Seq > maxSeq:
		return newRefusal(OutOfRange, "start time %d ms or sequence number %d is out of range", d.Started, d.Seq)
	case !isValidCount(d.Processes), d.Weight < 0, d.Weight > maxWeight:
		return newRefusal(OutOfRange, "%d processes or the weight %d are out of range", d.Processes, d.Weight)
	case !isValidAge(d.ListAge), !isValidAge(d.OperatorAge), d.OperatorEnd < 0, d.ListEnd < 0, d.ListSince < 0, d.ConfigVersion < 0:
		return newRefusal(OutOfRange, "list age %d ms, operator record age %d ms, operator record end %d, list offsets, or the version %d are out of range", d.ListAge, d.OperatorAge, d.OperatorEnd, d.ConfigVersion)
	}
	for _, l := range d.Load {
		if !isValidCount(l.Running) || !isValidCount(l.Reading) {
			return newRefusal(OutOfRange, "load of %d requests and %d prompt tokens is out of range", l.Running, l.Reading)
		}
	}
	for _, s := range d.Suspects {
		if !isValidCount(s.Depth) || !isValidAge(s.ClearedAge) || slices.ContainsFunc(s.Crashes, func(c Crash) bool { return !isValidAge(c.Age) }) {
			return newRefusal(OutOfRange, "the position or an age of the suspected part %q is out of range", s.Part)
		}
	}
	for _, l := range d.Limits {
		if !l.isValid() {
			return newRefusal(OutOfRange, "limit of %v requests per second of server %q, or what is sent there, is out of range", l.PerSecond, l.Server)
		}
	}
	for p := range d.allPlaces() {
		if !isValidCount(p.Slots) || p.Cold < 0 || p.Cold > maxCold.Milliseconds() || p.Run < 0 {
			return newRefusal(OutOfRange, "place with %d slots, %d ms of cold start and the run %d is out of range", p.Slots, p.Cold, p.Run)
		}
	}
	return nil
}

// clamp limits the reported numbers of a place to the ranges that check accepts.
func (p Place) clamp() Place {
	p.Slots = min(max(p.Slots, 0), maxCount)
	p.Cold = min(max(p.Cold, 0), maxCold.Milliseconds())
	p.Run = max(p.Run, 0)
	return p
}

func (l Limit) isValid() bool {
	return isValidRate(l.PerSecond) && isValidRate(l.Demand) && l.Run >= 0 && isValidAge(l.NamedAge) && isValidAge(l.FreeAge) &&
		isValidRate(l.Sent) && isValidCount(l.Instances) && l.Instances <= maxPeers
}

// isValidRate reports whether a number is one of requests, or of requests per second. It is
// false for NaN.
func isValidRate(n float64) bool { return n >= 0 && n <= maxCount }

func isValidAge(ms int64) bool     { return ms >= 0 && ms <= maxAge.Milliseconds() }
func isValidCount(n int) bool      { return n >= 0 && n <= maxCount }
func (d *Digest) memoryBytes() int { return d.entryCount()*entryBytes + d.stringBytes() }

// entryCount returns the number of entries in all lists together.
func (d *Digest) entryCount() int {
	n := len(d.Load) + len(d.StalledHeads) + len(d.ProgressingHeads) + len(d.SilentHeads) + len(d.ReachedHeads) + len(d.FailingHeads) + len(d.LeavingServers) + len(d.Limits) + len(d.SilentHeadStarts) + len(d.Gone) + len(d.Echoes) + len(d.OtherDataCentres)
	for range d.allPlaces() {
		n++
	}
	for _, s := range d.Suspects {
		n += 1 + len(s.Crashes)
	}
	for i := range d.Relayed {
		n += 1 + d.Relayed[i].entryCount()
	}
	return n
}

// allPlaces returns an iterator over the places of all data centres.
func (d *Digest) allPlaces() func(yield func(Place) bool) {
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

// stringBytes returns the total length of all names and addresses.
func (d *Digest) stringBytes() int {
	n := 0
	d.eachString(func(s string) bool { n += len(s); return true })
	for i := range d.Relayed {
		n += d.Relayed[i].stringBytes()
	}
	return n
}

// eachString calls visit with each name and address until visit returns false. It
// reports whether all calls returned true.
func (d *Digest) eachString(visit func(string) bool) bool {
	visitAll := func(values ...string) bool {
		for _, value := range values {
			if !visit(value) {
				return false
			}
		}
		return true
	}
	if !visitAll(d.Instance, d.DataCentre) || !visitAll(d.StalledHeads...) || !visitAll(d.ProgressingHeads...) || !visitAll(d.ReachedHeads...) || !visitAll(d.FailingHeads...) {
		return false
	}
	for _, l := range d.Load {
		if !visit(l.Place) {
			return false
		}
	}
	for _, s := range d.SilentHeads {
		if !visitAll(s.Server, s.Address) {
			return false
		}
	}
	for _, g := range d.Gone {
		if !visit(g.Server) {
			return false
		}
	}
	for _, s := range d.Suspects {
		if !visitAll(s.Part, s.Model) {
			return false
		}
	}
	for _, l := range d.Limits {
		if !visit(l.Server) {
			return false
		}
	}
	for _, s := range d.LeavingServers {
		if !visit(s.Server) {
			return false
		}
	}
	for _, e := range d.Echoes {
		if !visit(e.Instance) {
			return false
		}
	}
	for dataCentre := range d.OtherDataCentres {
		if !visit(dataCentre) {
			return false
		}
	}
	for p := range d.allPlaces() {
		if !visitAll(p.Server, p.Service, p.Model, p.Address) {
			return false
		}
	}
	return true
}
