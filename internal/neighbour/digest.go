package neighbour

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// digestVersion changes when a digest can't be read by older releases.
const digestVersion = 1

// Digest is what an instance tells its neighbours of itself.
type Digest struct {
	Version    int    `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Started    int64  `cbor:"4,keyasint"` // milliseconds since 1970
	Seq        uint64 `cbor:"5,keyasint"` // number of the digest since the start
	Leaving    bool   `cbor:"6,keyasint,omitempty"`
	Served     bool   `cbor:"7,keyasint,omitempty"` // clients have sent requests
	Load       []Load `cbor:"8,keyasint,omitempty"`
	// StalledHeads are the heads whose streams stand still here, Moving those that
	// have sent something a moment ago.
	StalledHeads     []string `cbor:"9,keyasint,omitempty"`
	ProgressingHeads []string `cbor:"10,keyasint,omitempty"`
	// Keeper is set by the instance that looks after its data centre's groups.
	// It follows the platform's store for the others, which is what Places,
	// OperatorEnd, OperatorAge and Echoes are for.
	Keeper bool    `cbor:"11,keyasint,omitempty"`
	Places []Place `cbor:"12,keyasint,omitempty"` // of its data centre
	// OtherDataCentres are the places of data centres whose keepers the sender doesn't
	// hear, as the platform's list has them.
	OtherDataCentres map[string][]Place `cbor:"20,keyasint,omitempty"`
	// ListAge is the milliseconds since the keeper read the list that Places follow from.
	ListAge int64 `cbor:"19,keyasint,omitempty"`
	// ListEnd is the offset up to which the keeper knew that list, ListSince the one
	// from which on it followed the list while the store answered. Both are 0 from
	// older releases.
	ListEnd   int64 `cbor:"21,keyasint,omitempty"`
	ListSince int64 `cbor:"22,keyasint,omitempty"`
	// Gone are workers of any data centre that the keeper lately read to have left.
	Gone []Gone `cbor:"23,keyasint,omitempty"`
	// StoreUnreachable instances have not reached the platform's store for a while. One
	// that has looks after the groups in their place.
	StoreUnreachable bool `cbor:"18,keyasint,omitempty"`
	// SilentHeads are heads that don't answer a keeper, Reached those of them that
	// answer the sender.
	SilentHeads  []SilentHead `cbor:"13,keyasint,omitempty"`
	ReachedHeads []string     `cbor:"14,keyasint,omitempty"`
	// SilentHeadStarts are the starts of Silent, in the same order, in milliseconds since 1970.
	SilentHeadStarts []int64 `cbor:"24,keyasint,omitempty"`
	// OperatorEnd is the offset up to which the sender knows the operator's
	// records, and OperatorAge the milliseconds since the read began that showed
	// that these were all.
	OperatorEnd int64  `cbor:"15,keyasint,omitempty"`
	OperatorAge int64  `cbor:"16,keyasint,omitempty"`
	Echoes      []Echo `cbor:"17,keyasint,omitempty"`

	// BufferedFor is how long a digest that was received lay unread, since its receiver
	// did not run. It is not sent.
	BufferedFor time.Duration `cbor:"-"`
}

// Load is what an instance has running at a place.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Place   string
	Running int
	Reading int // prompt tokens of the requests without a first event
}

// SilentHead is a head that doesn't answer a keeper.
type SilentHead struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Address string
}

// Place is a place that takes requests.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Service string
	Model   string // empty for a plain service
	Address string
	Slots   int
	Cold    int64 // milliseconds until the end of its cold start
}

// Gone is a worker whose entry was removed, or says that it is draining.
type Gone struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Offset   int64 // of the record
	Draining bool
}

// Echo names the last digest that the sender has from another instance. That
// instance knows when it sent that one, and so how old at most the sender's
// knowledge is, on its own clock.
type Echo struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Started  int64
	Seq      uint64
}

func encode(d Digest) ([]byte, error) {
	d.Version = digestVersion
	for i, p := range d.Places {
		d.Places[i] = p.clamp()
	}
	for _, places := range d.OtherDataCentres {
		for i, p := range places {
			places[i] = p.clamp()
		}
	}
	return cbor.Marshal(d)
}

// decode decodes a datagram and refuses what no instance sends.
func decode(data []byte, now time.Time) (Digest, error) {
	if len(data) > maxDigest {
		return Digest{}, refuse(TooLong, "more than %d bytes", maxDigest)
	}
	var d Digest
	if err := decoding.Unmarshal(data, &d); err != nil {
		return Digest{}, refuse(Unreadable, "%v", err)
	}
	if d.Version != digestVersion {
		return Digest{}, refuse(Unreadable, "version %d", d.Version)
	}
	return d, d.check(now)
}
