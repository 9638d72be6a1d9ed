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

// Format is the newest format of a batch that this release reads and writes.
const Format = 1

// ErrNewerFormat reports a batch that a newer release wrote. The reader stops
// before it, because it can't tell what the batch decided.
var ErrNewerFormat = errors.New("batch has a newer format than this release reads")

// ClaimantID names one run of a process: it differs after a restart.
type ClaimantID string

// ClaimID names one try to claim a key. It is never used for a second try.
type ClaimID = uuid.UUID

// RecordKind says what a record does to its key.
type RecordKind uint8

// The kinds of records.
const (
	RecordInvalid  RecordKind = iota
	RecordClaim               // asks for the sole right to run the key
	RecordRelease             // the claim never ran and never will
	RecordComplete            // the key ran and has its whole answer
	RecordAbandon             // the key may have run, its answer is lost
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

// Record is one step in the life of a key.
type Record struct {
	Kind   RecordKind
	Key    Key
	Claim  ClaimID
	Digest Digest  `json:",omitzero"`  // of the request, in a claim
	Answer *Answer `json:",omitempty"` // in a completion
	Reason string  `json:",omitempty"` // in a release or an abandon
}

// Batch is what one entry of a claim stream holds.
type Batch struct {
	Format   int
	Claimant ClaimantID
	Records  []Record
}

// ParseBatch parses the data of one entry.
func ParseBatch(data []byte) (Batch, error) {
	var head struct{ Format int }
	if err := json.Unmarshal(data, &head); err != nil {
		return Batch{}, errors.Wrap(err, "parse the head of a batch")
	}
	if head.Format > Format {
		return Batch{}, errors.Wrapf(ErrNewerFormat, "format %d above %d", head.Format, Format)
	}
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Wrap(err, "parse a batch")
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

// DigestOf returns the digest of all parts. Each part counts with its length, so
// that parts can't be moved into one another.
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
		return fmt.Errorf("digest has %d digits, want %d", len(text), hex.EncodedLen(len(d)))
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
	Kept       bool // the body is here; else only its digest is
}

// NewAnswer returns an answer with the named headers. It keeps a body of at most
// maxBodyBytes, and only the digest of a longer one.
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

// WithoutBody returns the answer with only the digest of its body.
func (a Answer) WithoutBody() Answer {
	a.Body = nil
	a.Kept = false
	return a
}
