package placement

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Stream returns the name of a data centre's placement stream.
func Stream(dataCentre string) string { return "placement-" + dataCentre }

// Format is the newest record format that this package supports.
const Format = 1

//go:generate go tool stringer -type=Kind -trimprefix=Kind

// Kind is the kind of change that a record makes. Its String form is the record's
// Kind on the stream.
type Kind int

// Kinds of records.
const (
	KindUnknown Kind = iota
	KindEntryJoin
	KindEntryLeave
	KindEntryGone
	KindLeaseGrant
	KindLeaseRelease
	KindGroupAssign
	KindGroupPhase
	KindGroupDissolve
	KindOrderClaim
	KindOrderRelease
	KindOrderTakeover
	KindQuarantine
	KindUnquarantine
)

// Body holds the fields of a record that are specific to its kind.
type Body interface {
	// Kind returns the kind of records that have this type of body.
	Kind() Kind
}

// bodies maps the name of each kind to a function that returns an empty body.
var bodies = map[string]func() Body{
	KindEntryJoin.String():     func() Body { return new(EntryJoin) },
	KindEntryLeave.String():    func() Body { return new(EntryLeave) },
	KindEntryGone.String():     func() Body { return new(EntryGone) },
	KindLeaseGrant.String():    func() Body { return new(LeaseGrant) },
	KindLeaseRelease.String():  func() Body { return new(LeaseRelease) },
	KindGroupAssign.String():   func() Body { return new(GroupAssign) },
	KindGroupPhase.String():    func() Body { return new(GroupPhase) },
	KindGroupDissolve.String(): func() Body { return new(GroupDissolve) },
	KindOrderClaim.String():    func() Body { return new(OrderClaim) },
	KindOrderRelease.String():  func() Body { return new(OrderRelease) },
	KindOrderTakeover.String(): func() Body { return new(OrderTakeover) },
	KindQuarantine.String():    func() Body { return new(SetQuarantine) },
	KindUnquarantine.String():  func() Body { return new(Unquarantine) },
}

// Record is a decoded record of the placement stream.
type Record struct {
	ID       string         // random; a repeated record with the same ID changes nothing
	Presumes journal.Offset // offset of the version that the record replaces, 0 for none
	Writer   string         // operator or instance that wrote the record, for information only
	Body     Body
}

// Encode returns the record as the stream stores it.
func (r Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode body of record %q", r.ID)
	}
	envelope := journal.Record{
		Format:   Format,
		ID:       r.ID,
		Kind:     r.Body.Kind().String(),
		Presumes: r.Presumes,
		Writer:   r.Writer,
		Body:     body,
	}
	return envelope.Encode()
}

// ErrNewerFormat reports a record or snapshot whose format is newer than Format.
var ErrNewerFormat = errors.New("record has a newer format")

// errSnapshot reports a snapshot record, which does not change the state.
var errSnapshot = errors.New("record is a snapshot")

// Decode decodes a record. It returns ErrNewerFormat if the record has a newer
// format.
func Decode(data []byte) (Record, error) {
	envelope, err := journal.DecodeRecord(data, Format)
	var formatErr *journal.FormatError
	if errors.As(err, &formatErr) {
		return Record{}, ErrNewerFormat
	}
	if err != nil {
		return Record{}, err
	}
	r := Record{ID: envelope.ID, Presumes: envelope.Presumes, Writer: envelope.Writer}
	if envelope.Kind == journal.KindSnapshot {
		return r, errSnapshot
	}
	body, ok := bodies[envelope.Kind]
	if !ok {
		return r, fmt.Errorf("kind %q does not exist in format %d", envelope.Kind, envelope.Format)
	}
	r.Body = body()
	return r, envelope.DecodeBody(r.Body)
}
