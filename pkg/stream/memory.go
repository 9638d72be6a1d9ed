package stream

import "sync"

// Defaults of [Memory].
const (
	DefaultTotalBytes  = 64 << 20
	DefaultStreamBytes = 256 << 10
)

// freeShareDivisor limits one stream to a fraction of the free memory, so that many
// stalled streams always leave some memory for the others.
const freeShareDivisor = 8

// Memory limits the bytes that buffers hold, for each stream and in total. The zero value
// is ready to use. It is safe for concurrent use.
type Memory struct {
	TotalBytes  int // of all streams; 0 means DefaultTotalBytes
	StreamBytes int // of each stream; 0 means DefaultStreamBytes

	mu    sync.Mutex
	used  int
	peak  int
	freed chan struct{} // closed when bytes are released; nil if nothing waits for that
}

// Used returns the bytes that are reserved.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Peak returns the largest number of bytes that were reserved at any time.
func (m *Memory) Peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// reserve reserves n more bytes for a stream that has reserved held bytes already. It
// returns false if the stream's limit does not allow that.
func (m *Memory) reserve(n, held int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held+n > m.streamLimit() {
		return false
	}
	m.used += n
	m.peak = max(m.peak, m.used)
	return true
}

// fits reports whether reserve would succeed.
func (m *Memory) fits(n, held int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return held+n <= m.streamLimit()
}

// maxChunkBytes returns the size of the largest chunk that fits if no memory is in use.
func (m *Memory) maxChunkBytes() int {
	total := orDefault(m.TotalBytes, DefaultTotalBytes)
	return min(orDefault(m.StreamBytes, DefaultStreamBytes), total/freeShareDivisor)
}

// streamLimit returns how many bytes one stream may have reserved, which depends on the
// free memory.
func (m *Memory) streamLimit() int {
	free := orDefault(m.TotalBytes, DefaultTotalBytes) - m.used
	return min(orDefault(m.StreamBytes, DefaultStreamBytes), free/freeShareDivisor)
}

func (m *Memory) release(n int) {
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

// freedChan returns a channel that is closed when bytes are released.
func (m *Memory) freedChan() <-chan struct{} {
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
