package neighbour

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chicorystall/chicorystall/pkg/position"
)

// digestVersion is the version of the encoding. It changes when older releases
// can't decode a digest.
const digestVersion = 1

// relayVersion is the version of a relay's digest. Older releases refuse it, since they
// would take places that are left out for removed.
const relayVersion = 2

// Digest is the state that an instance periodically sends to its peers.
type Digest struct {
	Version    int    `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Started    int64  `cbor:"4,keyasint"` // milliseconds since 1970
	Seq        uint64 `cbor:"5,keyasint"` // sequence number of the digest in this run
	Leaving    bool   `cbor:"6,keyasint,omitempty"`
	Served     bool   `cbor:"7,keyasint,omitempty"` // clients have sent requests to the sender
	Load       []Load `cbor:"8,keyasint,omitempty"`
	// StalledHeads lists the heads whose streams make no progress at the sender.
	StalledHeads []string `cbor:"9,keyasint,omitempty"`
	// ProgressingHeads lists the heads that recently sent data to the sender.
	ProgressingHeads []string `cbor:"10,keyasint,omitempty"`
	// Keeper is set by the keeper, the instance that manages the groups of its data
	// centre. It also reads the platform's store on behalf of the other instances,
	// and passes on the result in Places, OperatorEnd, OperatorAge and Echoes.
	Keeper bool    `cbor:"11,keyasint,omitempty"`
	Places []Place `cbor:"12,keyasint,omitempty"` // of its data centre
	// OtherDataCentres holds the places, from the platform's list, of the data centres from
	// whose keepers the sender receives no digests.
	OtherDataCentres map[string][]Place `cbor:"20,keyasint,omitempty"`
	// ListAge is the time in milliseconds since the keeper read the platform's list,
	// from which Places is derived.
	ListAge int64 `cbor:"19,keyasint,omitempty"`
	// ListEnd is the position up to which the keeper had read the list. Older releases
	// leave it 0.
	ListEnd position.Position `cbor:"21,keyasint,omitempty"`
	// ListSince is the position from which on the keeper has followed the list without
	// losing the store. Older releases leave it 0.
	ListSince position.Position `cbor:"22,keyasint,omitempty"`
	// Gone lists the workers of any data centre that, according to the records that
	// the keeper read lately, have left or are draining.
	Gone []Gone `cbor:"23,keyasint,omitempty"`
	// StoreUnreachable is set by an instance that has not reached the platform's store for a
	// while. An instance that has reached it becomes the keeper in its place.
	StoreUnreachable bool `cbor:"18,keyasint,omitempty"`
	// SilentHeads lists the heads that don't answer the keeper.
	SilentHeads []SilentHead `cbor:"13,keyasint,omitempty"`
	// ReachedHeads lists the heads that don't answer a keeper but answer the sender.
	ReachedHeads []string `cbor:"14,keyasint,omitempty"`
	// SilentHeadStarts holds the start times of the heads that don't answer the keeper, in
	// the same order and in milliseconds since 1970.
	SilentHeadStarts []int64 `cbor:"24,keyasint,omitempty"`
	// OperatorEnd is the position up to which the sender has read the operator's
	// records. OperatorAge is the time in milliseconds since it began the read that
	// found no further records.
	OperatorEnd position.Position `cbor:"15,keyasint,omitempty"`
	OperatorAge int64             `cbor:"16,keyasint,omitempty"`
	Echoes      []Echo            `cbor:"17,keyasint,omitempty"`
	// Relay is set by the relay of a data centre. Its digest is for all instances there
	// that it hears: Load is the sum of theirs without the receiver's, and the lists of
	// heads hold what any of them observed.
	Relay bool `cbor:"25,keyasint,omitempty"`
	// Processes is the number of processes in the relay's data centre.
	Processes int `cbor:"26,keyasint,omitempty"`
	// Relayed holds the last digests of the other relays.
	Relayed []Digest `cbor:"27,keyasint,omitempty"`
	// PlacesVersion identifies Places, which a relay leaves out of most digests while
	// they stay the same. HasPlaces is set if it did not. Both are 0 in other digests.
	PlacesVersion uint64 `cbor:"28,keyasint,omitempty"`
	HasPlaces     bool   `cbor:"29,keyasint,omitempty"`
	// Packed replaces Places in the encoded digest of a relay.
	Packed *packedPlaces `cbor:"31,keyasint,omitempty"`
	// PlaceRuns holds the runs of Places in the same order, and OtherPlaceRuns those of
	// OtherDataCentres, in the encoded digest. Older releases leave them out.
	PlaceRuns      []int64            `cbor:"35,keyasint,omitempty"`
	OtherPlaceRuns map[string][]int64 `cbor:"36,keyasint,omitempty"`
	// FailingHeads lists the heads that have lately failed most requests of the sender.
	FailingHeads []string `cbor:"32,keyasint,omitempty"`
	// Suspects lists parts of prompts that may crash backend servers.
	Suspects []Suspect `cbor:"33,keyasint,omitempty"`
	// LeavingServers lists the backend servers that lately said to the sender that they leave.
	LeavingServers []LeavingServer `cbor:"34,keyasint,omitempty"`
	// Limits lists the backend servers that named a limit on requests, and what the sender
	// sends to them. In the digest of a relay, it sums up those of its data centre without
	// the receiver.
	Limits []Limit `cbor:"37,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force at the sender. Older
	// releases leave it 0.
	ConfigVersion int64 `cbor:"38,keyasint,omitempty"`
	// Weight is the sender's weight in the choice of its data centre's keeper.
	Weight int `cbor:"30,keyasint,omitempty"`

	// BufferedFor is how long the digest waited in the receiver's socket buffer, for example
	// because the receiving process was stopped. It is not encoded.
	BufferedFor time.Duration `cbor:"-"`
	// Acting is set by the instance that is the keeper, also while it can't say which
	// places there are. It is not encoded.
	Acting bool `cbor:"-"`
}

// Load is the load that an instance puts on a place.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Place   string
	Running int
	Reading int // prompt tokens of the requests that have not yet received a first event
}

// SilentHead is a head that doesn't answer its data centre's keeper.
type SilentHead struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Address string
}

// Place is where a request can run: a plain worker or the head of a group, which
// is its first member and takes its requests.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Service string
	Model   string // empty for a plain service
	Address string
	Slots   int
	Cold    int64 // milliseconds until its cold start ends
	// Run is the run of the server, which is its start time in milliseconds since 1970; 0 if
	// not known. Older releases expect an entry without it, so it is encoded apart.
	Run int64 `cbor:"-"`
}

// LeavingServer is a run of a backend server that said that it leaves.
type LeavingServer struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Run    int64 // 0 if not known
}

// Limit is the limit of a backend server on requests per second from all instances
// together. Ages are in milliseconds.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	Run       int64 // 0 if not known
	PerSecond float64
	NamedAge  int64   // since an answer last named the limit
	FreeAge   int64   // one more than the age of the last answer that named none; 0 if there was none
	Sent      float64 // requests that the instances sent, which decay with time
	Demand    float64 // requests per second that they would send
	Instances int     // that Sent and Demand are of
}

// Suspect is a part of prompts that may crash backend servers. Ages are in milliseconds.
type Suspect struct {
	_          struct{} `cbor:",toarray"`
	Part       string
	Depth      int // position of the part in prompts; only older releases use it
	Model      string
	Answered   bool // enough other requests to the model were answered since the first crash
	Cleared    bool // a request with the part was answered ClearedAge ago
	ClearedAge int64
	Crashes    []Crash
}

// Crash is a crash of a backend server under a request with a suspected part.
type Crash struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32   // hash
	Request uint32   // hash
	Age     int64
}

// Gone is a worker whose entry in the store's list was removed or marked as
// draining.
type Gone struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Offset   position.Position // of the record that says so
	Draining bool
}

// Echo identifies the last digest that a keeper received from another instance.
// That instance knows on its own clock when it sent the digest. The keeper took the
// ages in its own digest afterwards, so the send time bounds how old they are.
type Echo struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Started  int64
	Seq      uint64
}

// encode encodes a digest, with the numbers of its places limited to the ranges
// that decode accepts.
func encode(d Digest) ([]byte, error) {
	d.Version = digestVersion
	if d.Relay {
		d.Version = relayVersion
	}
	for i, p := range d.Places {
		d.Places[i] = p.clamp()
	}
	for _, places := range d.OtherDataCentres {
		for i, p := range places {
			places[i] = p.clamp()
		}
	}
	d.splitRuns()
	if d.Relay {
		d.pack()
	}
	return cbor.Marshal(d)
}

// decode decodes a datagram. It refuses digests that no instance sends.
func decode(data []byte, now time.Time) (Digest, error) {
	if len(data) > maxDigestBytes {
		return Digest{}, newRefusal(TooLong, "datagram is longer than %d bytes", maxDigestBytes)
	}
	var d Digest
	if err := decMode.Unmarshal(data, &d); err != nil {
		return Digest{}, newRefusal(Unreadable, "can't decode datagram: %v", err)
	}
	if d.Version != digestVersion && d.Version != relayVersion {
		return Digest{}, newRefusal(Unreadable, "unknown version %d", d.Version)
	}
	if err := d.unpack(); err != nil {
		return Digest{}, err
	}
	if err := d.check(now); err != nil {
		return Digest{}, err
	}
	for i := range d.Relayed {
		r := &d.Relayed[i]
		if len(r.Relayed) > 0 || !r.Relay {
			return Digest{}, newRefusal(Unreadable, "relayed digest of instance %q is not a relay's own", r.Instance)
		}
		if err := r.check(now); err != nil {
			return Digest{}, err
		}
	}
	return d, nil
}
