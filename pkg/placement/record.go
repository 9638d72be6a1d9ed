package placement

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Stream returns the name of a data centre's placement stream.
func Stream(dataCentre string) string { return "placement-" + dataCentre }

// Format is the newest form of records that this package applies.
const Format = 1

//go:generate go tool stringer -type=Kind -trimprefix=Kind

// Kind says what a record does. Its name is the record's Kind on the stream.
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

// Body is the part of a record that depends on its kind.
type Body interface {
	// Kind returns the kind of the records that carry the body.
	Kind() Kind
}

// bodies returns an empty body for each kind.
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

// Record is one record of the placement stream.
type Record struct {
	ID       string         // random; a second record with the same ID changes nothing
	Presumes journal.Offset // offset of the version that it replaces, 0 for none
	Writer   string         // who wrote it, for people
	Body     Body
}

// Encode returns the record in the form that the stream holds.
func (r Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "body of record %q", r.ID)
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

// ErrNewerFormat reports a record of a form that this release cannot apply.
var ErrNewerFormat = errors.New("record has a newer format")

// errSnapshot reports a record that carries a state and changes none.
var errSnapshot = errors.New("record is a snapshot")

// Decode reads a record. A record of a newer format yields ErrNewerFormat.
func Decode(data []byte) (Record, error) {
	envelope, err := journal.DecodeRecord(data, Format)
	var newer *journal.FormatError
	if errors.As(err, &newer) {
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
