package fleet

import (
	"fmt"

	"github.com/chicorystall/chicorystall/pkg/journal"
)

// check compares a state and a verdict with all that was seen before.
func (m *machine) check(s State, v Verdict) error {
	if s.Offset() == 0 {
		return nil
	}
	body, err := s.Encode()
	if err != nil {
		return err
	}
	if err := m.compare(s, string(body)); err != nil {
		return err
	}
	if m.gate != 0 && s.Offset() >= m.gate {
		return fmt.Errorf("state is at offset %d, past the newer format at %d", s.Offset(), m.gate)
	}
	if _, ok := s.Preset(); !ok {
		return fmt.Errorf("no preset is in force at offset %d", s.Offset())
	}
	if err := uniqueMembers(s.Config()); err != nil {
		return err
	}
	if err := m.judge(v); err != nil {
		return err
	}
	if s.Offset() >= m.newest && s.Changed().Offset < m.newest {
		return fmt.Errorf("state at offset %d reverted the change at %d", s.Offset(), m.newest)
	}
	return nil
}

// compare checks that states at one offset are equal, and that each is restored
// from its snapshot as it was.
func (m *machine) compare(s State, body string) error {
	if seen, ok := m.known[s.Offset()]; ok {
		if seen != body {
			return fmt.Errorf("states at offset %d differ:\n%s\n%s", s.Offset(), seen, body)
		}
		return nil
	}
	m.known[s.Offset()] = body
	restored, err := Restore([]byte(body), s.Offset())
	if err != nil {
		return err
	}
	if again, err := restored.Encode(); err != nil || string(again) != body {
		return fmt.Errorf("snapshot at offset %d is restored differently: %v", s.Offset(), err)
	}
	return nil
}

// uniqueMembers finds a backend server in two groups.
func uniqueMembers(c Config) error {
	groups := make(map[string]string)
	for _, g := range c.Groups {
		for _, member := range g.Members {
			if other, taken := groups[member]; taken {
				return fmt.Errorf("%s is in groups %s and %s", member, other, g.Name)
			}
			groups[member] = g.Name
		}
	}
	return nil
}

// judge checks that each record has one verdict and each version one winner.
func (m *machine) judge(v Verdict) error {
	if v.ID == "" || v.Kind == KindSnapshot {
		return nil
	}
	if accepted, ok := m.verdicts[v.ID]; ok && accepted != v.Accepted {
		return fmt.Errorf("%s, but another copy had the other verdict", v)
	}
	m.verdicts[v.ID] = v.Accepted
	if !v.Accepted {
		return nil
	}
	m.newest = max(m.newest, v.Offset)
	r := m.record(v.ID)
	p, err := planOf(v.Kind, r)
	if err != nil {
		return err
	}
	version := fmt.Sprintf("%s %d", p.item, r.Presumes)
	if winner, ok := m.winners[version]; ok && winner != v.ID && r.Presumes > 0 {
		return fmt.Errorf("%s and %s both won over version %s", winner, v.ID, version)
	}
	m.winners[version] = v.ID
	return nil
}

// record returns the record with the ID.
func (m *machine) record(id string) journal.Record {
	for _, r := range m.sent {
		if r.ID == id {
			return r
		}
	}
	return journal.Record{}
}
