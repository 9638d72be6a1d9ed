package stream

import "sync"

// Defaults of Memory.
const (
	DefaultTotalBytes  = 64 << 20
	DefaultStreamBytes = 256 << 10
)

// freeShareDivisor sets the part of the free memory that one stream may hold, so
// that many stalled streams always leave room for those that move.
const freeShareDivisor = 8

// Memory bounds the bytes that all buffers hold together. The zero value is
// ready. It may be used by several goroutines at once.
type Memory struct {
	TotalBytes  int // of all streams; 0 means DefaultTotalBytes
	StreamBytes int // of each stream; 0 means DefaultStreamBytes

	mu    sync.Mutex
	used  int
	peak  int
	freed chan struct{} // closed and replaced when bytes are given back; nil if nobody waits
}

// Used returns the bytes held now.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Peak returns the most bytes that were held at any time.
func (m *Memory) Peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// take reserves n bytes for a stream that holds held bytes.
func (m *Memory) take(n, held int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held+n > m.limit() {
		return false
	}
	m.used += n
	m.peak = max(m.peak, m.used)
	return true
}

// fits reports whether take would succeed.
func (m *Memory) fits(n, held int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return held+n <= m.limit()
}

// largest returns the bytes of the largest chunk that fits into empty memory.
func (m *Memory) largest() int {
	total := orDefault(m.TotalBytes, DefaultTotalBytes)
	return min(orDefault(m.StreamBytes, DefaultStreamBytes), total/freeShareDivisor)
}

// limit returns the bytes that one stream may hold at the present use.
func (m *Memory) limit() int {
	free := orDefault(m.TotalBytes, DefaultTotalBytes) - m.used
	return min(orDefault(m.StreamBytes, DefaultStreamBytes), free/freeShareDivisor)
}

func (m *Memory) give(n int) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// wait returns a channel that is closed when bytes are given back.
func (m *Memory) wait() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

func orDefault[T ~int | ~int64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
