package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

//go:generate go tool stringer -type=RecordKind -trimprefix=Record

// Format is the batch format that this release writes, and the newest that it reads.
const Format = 1

// ErrNewerFormat reports a batch that a newer release wrote. The reader stops before it,
// since it can't know which claims the batch decides.
var ErrNewerFormat = errors.New("batch has a newer format than this release reads")

// ClaimantID identifies one run of a process: a restarted process has another one.
type ClaimantID string

// ClaimID identifies one attempt to claim a key. It is never reused.
type ClaimID = uuid.UUID

// RecordKind is the kind of a record: how it changes the state of its key.
type RecordKind uint8

// The kinds of records.
const (
	RecordInvalid  RecordKind = iota
	RecordClaim               // claims the exclusive right to run the key
	RecordRelease             // the claimant did not run the key under this claim and never will
	RecordComplete            // the key ran and its answer is complete
	RecordAbandon             // the key may have run and its answer is lost
)

// MarshalText returns the kind's name.
func (k RecordKind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText accepts the name of a kind. An unknown name gives RecordInvalid,
// which changes no state.
func (k *RecordKind) UnmarshalText(text []byte) error {
	*k = RecordInvalid
	for kind := RecordClaim; kind <= RecordAbandon; kind++ {
		if kind.String() == string(text) {
			*k = kind
		}
	}
	return nil
}

// Record is one change of a key's state.
type Record struct {
	Kind   RecordKind
	Key    Key
	Claim  ClaimID
	Digest Digest  `json:",omitzero"`  // of the request, for RecordClaim
	Answer *Answer `json:",omitempty"` // for RecordComplete
	Reason string  `json:",omitempty"` // for RecordRelease and RecordAbandon
}

// Batch is the content of one entry of a claim stream.
type Batch struct {
	Format   int
	Claimant ClaimantID
	Records  []Record
}

// ParseBatch parses the data of one entry.
func ParseBatch(data []byte) (Batch, error) {
	var header struct{ Format int }
	if err := json.Unmarshal(data, &header); err != nil {
		return Batch{}, errors.Wrap(err, "parse format of claim batch")
	}
	if header.Format > Format {
		return Batch{}, errors.Wrapf(ErrNewerFormat, "format %d, newest supported is %d", header.Format, Format)
	}
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Wrap(err, "parse claim batch")
	}
	return b, nil
}

// Encode returns the data of an entry that holds the batch.
func (b Batch) Encode() ([]byte, error) {
	b.Format = Format
	return json.Marshal(b)
}

// Digest is the SHA-256 sum of a request or a body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a list of parts. Each part is hashed with its length, so
// that lists which differ only in where the parts are divided have different digests.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return Digest(h.Sum(nil))
}

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText parses a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d hexadecimal digits, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Answer is the stored answer of a completed key.
type Answer struct {
	Status     int
	Header     http.Header `json:",omitempty"`
	Body       []byte      `json:",omitempty"`
	BodyDigest Digest
	Kept       bool // Body is present; if false, only BodyDigest is
}

// NewAnswer returns an answer with the named headers only. It keeps a body of at most
// maxBodyBytes, and just the digest of a longer one.
func NewAnswer(status int, header http.Header, names []string, body []byte, maxBodyBytes int) Answer {
	a := Answer{Status: status, BodyDigest: DigestOf(body)}
	for _, name := range names {
		values := header.Values(name)
		if len(values) == 0 {
			continue
		}
		if a.Header == nil {
			a.Header = http.Header{}
		}
		a.Header[http.CanonicalHeaderKey(name)] = append([]string(nil), values...)
	}
	if len(body) <= maxBodyBytes {
		a.Body = append([]byte(nil), body...)
		a.Kept = true
	}
	return a
}

// WithoutBody returns the answer with the digest of its body but not the body.
func (a Answer) WithoutBody() Answer {
	a.Body = nil
	a.Kept = false
	return a
}
