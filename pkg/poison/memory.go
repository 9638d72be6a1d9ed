package poison

import "time"

// generationSize is the number of parts in each of the two generations of an answerMemory.
const generationSize = 16384

// answerMemory holds when requests with a part were last answered, for the latest
// generationSize parts at least. The zero value is empty.
type answerMemory struct {
	current, previous map[uint64]time.Time // by hash of the part
}

// note records an answer at a time, unless a later one is known.
func (m *answerMemory) note(part string, at time.Time) {
	if last, known := m.last(part); known && !at.After(last) {
		return
	}
	if len(m.current) >= generationSize {
		m.previous, m.current = m.current, nil
	}
	if m.current == nil {
		m.current = map[uint64]time.Time{}
	}
	m.current[longHashOf(part)] = at
}

// last returns when a request with the part was last answered.
func (m *answerMemory) last(part string) (time.Time, bool) {
	key := longHashOf(part)
	if at, known := m.current[key]; known {
		return at, true
	}
	at, known := m.previous[key]
	return at, known
}
