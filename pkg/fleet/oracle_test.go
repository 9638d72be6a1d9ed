package fleet

import (
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// checkReplica compares a state and a verdict with those observed before.
func (m *machine) checkReplica(s State, v Verdict) error {
	if s.Offset() == 0 {
		return nil
	}
	body, err := s.Encode()
	if err != nil {
		return err
	}
	if err := m.checkEncoding(s, string(body)); err != nil {
		return err
	}
	if m.newerFormatAt != 0 && s.Offset() >= m.newerFormatAt {
		return fmt.Errorf("state is at offset %d, beyond the entry with a newer format at %d", s.Offset(), m.newerFormatAt)
	}
	if _, ok := s.Preset(); !ok {
		return fmt.Errorf("no preset is in force at offset %d", s.Offset())
	}
	if err := checkUniqueMembers(s.Config()); err != nil {
		return err
	}
	if err := m.checkVerdict(v); err != nil {
		return err
	}
	if s.Offset() >= m.lastAccepted && s.LastChange().Offset < m.lastAccepted {
		return fmt.Errorf("state at offset %d reverted the change at %d", s.Offset(), m.lastAccepted)
	}
	return nil
}

// checkEncoding checks that all states at one offset are equal, and that Restore returns
// the same state.
func (m *machine) checkEncoding(s State, body string) error {
	if earlier, ok := m.encodedStates[s.Offset()]; ok {
		if earlier != body {
			return fmt.Errorf("states at offset %d differ:\n%s\n%s", s.Offset(), earlier, body)
		}
		return nil
	}
	m.encodedStates[s.Offset()] = body
	restored, err := Restore([]byte(body), s.Offset())
	if err != nil {
		return err
	}
	if reencoded, err := restored.Encode(); err != nil || string(reencoded) != body {
		return fmt.Errorf("restored snapshot at offset %d is encoded differently: %v", s.Offset(), err)
	}
	return nil
}

// checkUniqueMembers returns an error if a backend server is in two groups.
func checkUniqueMembers(c Config) error {
	groups := make(map[string]string)
	for _, g := range c.Groups {
		for _, member := range g.Members {
			if other, taken := groups[member]; taken {
				return fmt.Errorf("backend server %s is in groups %s and %s", member, other, g.Name)
			}
			groups[member] = g.Name
		}
	}
	return nil
}

// checkVerdict checks that all copies of a record get the same verdict, and that only one
// record is accepted for each version of an item.
func (m *machine) checkVerdict(v Verdict) error {
	if v.ID == "" || v.Kind == KindSnapshot {
		return nil
	}
	if accepted, ok := m.accepted[v.ID]; ok && accepted != v.Accepted {
		return fmt.Errorf("%s, but an earlier copy had the opposite verdict", v)
	}
	m.accepted[v.ID] = v.Accepted
	if !v.Accepted {
		return nil
	}
	m.lastAccepted = max(m.lastAccepted, v.Offset)
	r := m.recordByID(v.ID)
	p, err := planOf(v.Kind, r)
	if err != nil {
		return err
	}
	version := fmt.Sprintf("%s %d", p.item, r.Presumes)
	if winner, ok := m.acceptedRecords[version]; ok && winner != v.ID && r.Presumes > 0 {
		return fmt.Errorf("records %s and %s were both accepted for version %s", winner, v.ID, version)
	}
	m.acceptedRecords[version] = v.ID
	return nil
}

// recordByID returns the record with the ID.
func (m *machine) recordByID(id string) journal.Record {
	for _, r := range m.sent {
		if r.ID == id {
			return r
		}
	}
	return journal.Record{}
}
