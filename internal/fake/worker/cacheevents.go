package worker

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake"
)

const maxCacheEvents = 4096

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// recordCacheEvent records a cache event, unless it is one that Config.CacheEventLoss
// drops. The caller holds the lock.
func (p *process) recordCacheEvent(b block, removed bool) {
	p.lastEventNumber++
	if loss := p.worker.config.CacheEventLoss; loss > 0 && p.lastEventNumber%int64(loss) == 0 {
		return
	}
	event := engine.CacheEvent{Number: p.lastEventNumber, Hash: b.hash, Tokens: b.tokens, Removed: removed}
	p.events = append(p.events, timedEvent{at: time.Now(), event: event})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
	}
}

func (w *Worker) handleCacheEvents(p *process, rw http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("After"), 10, 64)
	if err != nil {
		http.Error(rw, "After must be a number", http.StatusBadRequest)
		return
	}
	fake.WriteJSON(rw, http.StatusOK, p.cacheEvents(after, time.Now().Add(-w.config.CacheEventLag)))
}

// cacheEvents returns the events with numbers above after that happened at the time
// until or before.
func (p *process) cacheEvents(after int64, until time.Time) engine.CacheEvents {
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	answer := engine.CacheEvents{BootID: p.state.BootID, Next: after}
	for _, e := range p.events {
		if e.event.Number > after && !e.at.After(until) {
			answer.Events = append(answer.Events, e.event)
			answer.Next = e.event.Number
		}
	}
	return answer
}

func (w *Worker) handleExport(p *process, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	cache := engine.KVCache{Model: p.state.Model, ModelVersion: p.state.ModelVersion, Prefixes: p.cache.contents()}
	w.mu.Unlock()
	fake.WriteJSON(rw, http.StatusOK, cache)
}

func (w *Worker) handleImport(p *process, rw http.ResponseWriter, r *http.Request) {
	var cache engine.KVCache
	if !fake.ReadJSON(rw, r, &cache) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if cache.Model != p.state.Model || cache.ModelVersion != p.state.ModelVersion {
		http.Error(rw, "KV cache belongs to another model or model version", http.StatusConflict)
		return
	}
	for _, prefix := range cache.Prefixes {
		p.cache.add(block{hash: prefix.Hash, tokens: prefix.Tokens})
	}
	fake.WriteJSON(rw, http.StatusOK, struct{}{})
}
