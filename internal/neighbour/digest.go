package neighbour

import (
	"github.com/cockroachdb/errors"
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
	// Stalled are the heads whose streams stand still here, Moving those that
	// have sent something a moment ago.
	Stalled []string `cbor:"9,keyasint,omitempty"`
	Moving  []string `cbor:"10,keyasint,omitempty"`
	// Keeper is set by the instance that looks after its data centre's groups.
	Keeper bool   `cbor:"11,keyasint,omitempty"`
	Heads  []Head `cbor:"12,keyasint,omitempty"` // open heads, from a keeper only
	// Silent are heads that don't answer a keeper, Reached those of them that
	// answer the sender.
	Silent  []Silent `cbor:"13,keyasint,omitempty"`
	Reached []string `cbor:"14,keyasint,omitempty"`
}

// Load is what an instance has running at a place.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Place   string
	Running int
	Reading int // prompt tokens of the requests without a first event
}

// Silent is a head that doesn't answer a keeper.
type Silent struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Address string
}

// Head is the head of an open group.
type Head struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Model  string
	Epoch  int64
}

func encode(d Digest) ([]byte, error) {
	d.Version = digestVersion
	return cbor.Marshal(d)
}

func decode(data []byte) (Digest, error) {
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Digest{}, errors.Wrap(err, "digest")
	}
	if d.Version != digestVersion || d.Instance == "" {
		return Digest{}, errors.Newf("digest of version %d from %q", d.Version, d.Instance)
	}
	return d, nil
}
