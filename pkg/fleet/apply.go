package fleet

import (
	"cmp"
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/cockroachdb/errors"
)

// Apply returns the state after the entry and the verdict about it. It is a pure
// function: every replica that applies the same entries has the same state. These
// entries change nothing: those that the state already includes, those after a gap
// that are not snapshots, and the first entry with a newer format and all that follow
// it.
func (s State) Apply(e journal.Entry) (State, Verdict) {
	v := Verdict{Offset: e.Offset}
	if s.stopped != nil {
		return s, v.refuse("", "%v at offset %d", s.stopped, s.offset+1)
	}
	if e.Offset <= s.offset {
		v.Repeat = true
		return s, v.refuse("", "offset %d is already applied", e.Offset)
	}
	r, err := journal.DecodeRecord(e.Data, Format)
	var formatErr *journal.FormatError
	if errors.As(err, &formatErr) {
		return s.stop(e, formatErr)
	}
	if err == nil && r.Kind == journal.KindSnapshot {
		return s.applySnapshot(e, r)
	}
	if e.Offset != s.offset+1 {
		return s, v.refuse("", "offset %d does not follow offset %d", e.Offset, s.offset)
	}
	s = s.withOffset(e.Offset)
	if err != nil {
		return s, v.refuse("", "%v", err)
	}
	return s.applyRecord(r)
}

// stop handles an entry with a newer format: it returns the state that refuses that
// entry and all later ones.
func (s State) stop(e journal.Entry, formatErr *journal.FormatError) (State, Verdict) {
	v := Verdict{Offset: e.Offset}
	v = v.refuse("", "%v", formatErr)
	if s.disabled&guardFormat != 0 {
		return s.withOffset(e.Offset), v
	}
	if e.Offset == s.offset+1 {
		s.stopped = formatErr
	}
	return s, v
}

// applySnapshot replaces the state with that of a valid snapshot. Replicas that
// applied the earlier entries do so too, so all replicas have the same state at the
// snapshot's offset.
func (s State) applySnapshot(e journal.Entry, r journal.Record) (State, Verdict) {
	v := Verdict{Offset: e.Offset, ID: r.ID, Kind: KindSnapshot}
	next := s
	if e.Offset == s.offset+1 {
		next = s.withOffset(e.Offset)
	}
	if r.Presumes != e.Offset-1 && s.disabled&guardSnapshot == 0 {
		return next, v.refuse("Presumes", "snapshot covers entries up to %d, not up to %d", r.Presumes, e.Offset-1)
	}
	restored, err := Restore(r.Body, e.Offset)
	if err != nil {
		return next, v.refuse("Body", "%v", err)
	}
	restored.disabled = s.disabled
	v.Accepted = true
	return restored, v
}

// applyRecord returns the state and the verdict after the record at the state's offset.
// A later copy of a record gets the verdict of the first one.
func (s State) applyRecord(r journal.Record) (State, Verdict) {
	if earlier, ok := s.Verdict(r.ID); ok && s.disabled&guardIDs == 0 {
		earlier.Repeat = true
		return s, earlier
	}
	v := Verdict{Offset: s.offset, ID: r.ID, Kind: parseKind(r.Kind)}
	next, v := s.decide(r, v)
	if len(v.Findings) > 0 {
		return s.withVerdict(v), v
	}
	v.Accepted = true
	return next.withVerdict(v), v
}

// decide returns the state after the record, and the verdict. If the verdict has
// findings, the record is refused and the returned state must not be used.
func (s State) decide(r journal.Record, v Verdict) (State, Verdict) {
	if r.After >= s.offset {
		return s, v.refuse("After", "offset %d is not before the record's own offset %d", r.After, s.offset)
	}
	if r.After < s.offset-IDWindow && s.disabled&guardAge == 0 {
		return s, v.refuse("After", "record is from after offset %d, more than %d entries ago", r.After, IDWindow)
	}
	if v.Kind == KindUnknown {
		return s, v.refuse("Kind", "kind %q does not exist in format %d", r.Kind, r.Format)
	}
	p, err := planOf(v.Kind, r)
	if err != nil {
		return s, v.refuse("Body", "%v", err)
	}
	if current := s.VersionOf(p.item); r.Presumes != current.Offset && s.disabled&guardPresumes == 0 {
		v.Winner = s.winner(p.item)
		return s, v.refuse(p.item.String(), "presumes version %d, but %s", r.Presumes, v.Winner.describe())
	}
	next, err := p.apply(s, Version{s.offset, r.Writer})
	if err != nil {
		return s, v.refuse(p.item.String(), "%v", err)
	}
	next.inForce = cmp.Or(next.inForce, next.config.defaultPreset())
	v.Findings = Check(next.config)
	return next, v
}

// describe returns the version of an item as the end of a sentence.
func (v Version) describe() string {
	if v.Offset == 0 {
		return "it does not exist"
	}
	return fmt.Sprintf("%q changed it at offset %d", v.Writer, v.Offset)
}
