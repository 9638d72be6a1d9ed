package gateway

import (
	"sync"

	"github.com/chicorystall/chicorystall/internal/exchange"
)

const (
	// answerMemoryDivisor gives the part of the process's memory that answers may take
	// which were read whole and are passed on.
	answerMemoryDivisor = 4
	// pieceBytes is the most that is read of an answer before it is passed on if that part
	// is used up.
	pieceBytes = 32 << 10
)

// answerMemory counts the memory of answers that are read whole before they are passed on.
// Clients that read slowly hold it for long. The zero value is ready to use.
type answerMemory struct {
	mu   sync.Mutex
	held int64
}

// reserve reserves memory, or returns false if answers would then hold more than capacity.
func (m *answerMemory) reserve(size, capacity int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+size > capacity {
		return false
	}
	m.held += size
	return true
}

func (m *answerMemory) release(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= size
}

// AnswerBytes returns the memory that is reserved for answers.
func (g *Gateway) AnswerBytes() int64 {
	g.answers.mu.Lock()
	defer g.answers.mu.Unlock()
	return g.answers.held
}

// reserveAnswer returns how much of an answer may be read before it is passed on, and a
// function that releases the memory for it.
func (a *attempt) reserveAnswer(answer *exchange.Answer) (limit int, release func()) {
	size := int64(maxBufferedBytes)
	if answer.ContentLength >= 0 {
		size = min(size, answer.ContentLength)
	}
	memory := a.gateway.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if !a.gateway.answers.reserve(size, memory/answerMemoryDivisor) {
		a.trace.Add("answer is not read whole, since others hold the memory", nil)
		return pieceBytes, func() {}
	}
	return maxBufferedBytes, func() { a.gateway.answers.release(size) }
}
