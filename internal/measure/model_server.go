package measure

import (
	"container/list"
	"fmt"
	"time"
)

// Constants of a simulated backend server.
const (
	serverBatch           = 24
	serverKVTokens        = 72000
	serverPrefill         = 12000 // tokens per second
	serverChunk           = 1024  // prompt tokens prefilled per step
	serverStep            = 25 * time.Millisecond
	serverStepPerSeq      = 500 * time.Microsecond
	serverColdFactor      = 3 // slowdown of a cold server
	serverColdRequests    = 1 // concurrent requests at boot; doubles after as many completions
	serverColdCrashFactor = 2 // a cold server crashes above this multiple of its maximum
	serverRestart         = 8 * time.Second
	blockTokens           = 64
)

// sequence is one request at a backend server.
type sequence struct {
	blocks       []uint64
	prompt       int
	output       int
	prefill      int // prompt tokens not yet computed
	outputDone   int // output tokens generated
	cachedTokens int // prompt tokens from the prefix cache
	phase        int // cold phase of the server when the request arrived
	first        func()
	token        func(between time.Duration)
	done         func(whole bool)
}

func (s *sequence) held() int { return s.prompt + s.outputDone }

// modelServer is a simulated backend server with continuous batching. It caches
// prompt prefixes in the memory that its requests leave free, is slow and can take
// few requests after a cold start, and crashes when its requests exceed its memory.
type modelServer struct {
	clock      *modelClock
	name       string
	dataCentre string
	boot       int
	up         bool
	warm       bool
	phase      int // incremented each time that the server turns cold
	completed  int // in this phase
	slowdown   int // factor relative to the other servers; 0 counts as 1
	waiting    []*sequence
	running    []*sequence
	stepping   bool
	lastStep   time.Duration
	cache      *list.List // of block hashes, most recent first
	cached     map[uint64]*list.Element
	stored     []uint64 // since the last cache event
	removed    []uint64
	events     uint64

	onSubmit  func() // may be nil
	crashes   int
	overloads int // requests that arrived above maxRequests
	hitTokens int
	allTokens int
}

func newModelServer(clock *modelClock, name, dataCentre string) *modelServer {
	s := &modelServer{clock: clock, name: name, dataCentre: dataCentre, up: true, warm: true}
	s.clearCache()
	return s
}

func (s *modelServer) clearCache() {
	s.cache = list.New()
	s.cached = make(map[uint64]*list.Element)
	s.stored, s.removed, s.events = nil, nil, 0
}

func (s *modelServer) bootID() string { return fmt.Sprint(s.boot) }

// maxRequests returns how many concurrent requests the server can handle.
func (s *modelServer) maxRequests() int {
	if s.warm {
		return serverBatch
	}
	limit, needed := serverColdRequests, serverColdRequests
	for s.completed >= needed && limit < serverBatch {
		limit *= 2
		needed += limit
	}
	return min(limit, serverBatch)
}

// speed returns the prefill rate in prompt tokens per second.
func (s *modelServer) speed() int {
	if s.maxRequests() < serverBatch {
		return serverPrefill / serverColdFactor / max(s.slowdown, 1)
	}
	return serverPrefill / max(s.slowdown, 1)
}

// pending returns the number of prompt tokens that wait for prefill.
func (s *modelServer) pending() int {
	n := 0
	for _, q := range s.waiting {
		n += q.prompt
	}
	for _, q := range s.running {
		n += q.prefill
	}
	return n
}

// requestsSinceCold returns the number of requests that arrived since the server
// turned cold. Older ones are not counted against the maximum of a cold server.
func (s *modelServer) requestsSinceCold() int {
	n := 0
	for _, list := range [][]*sequence{s.waiting, s.running} {
		for _, q := range list {
			if s.warm || q.phase == s.phase {
				n++
			}
		}
	}
	return n
}

func (s *modelServer) requests() int { return len(s.waiting) + len(s.running) }

// submit accepts a request, or returns false if the connection is refused.
func (s *modelServer) submit(q *sequence) bool {
	if !s.up {
		return false
	}
	if s.onSubmit != nil {
		s.onSubmit()
	}
	q.phase = s.phase
	s.waiting = append(s.waiting, q)
	if s.requestsSinceCold() > s.maxRequests() {
		s.overloads++
	}
	if !s.warm && s.requestsSinceCold() > serverColdCrashFactor*s.maxRequests() {
		s.crash()
		return true
	}
	s.startStep()
	return true
}

// crash ends all requests; the server restarts cold.
func (s *modelServer) crash() {
	s.crashes++
	s.stop()
	s.clock.after(serverRestart, s.start)
}

func (s *modelServer) stop() {
	lost := append(s.running, s.waiting...)
	s.up, s.running, s.waiting = false, nil, nil
	s.clearCache()
	s.boot++
	for _, q := range lost {
		s.clock.after(time.Millisecond, func() { q.done(false) })
	}
}

// start completes a restart.
func (s *modelServer) start() {
	s.up = true
	s.turnCold()
}

// turnCold puts the server into the cold state without a new boot ID.
func (s *modelServer) turnCold() {
	s.warm, s.completed = false, 0
	s.phase++
}

func (s *modelServer) kvUsed() int {
	used := 0
	for _, q := range s.running {
		used += q.held()
	}
	return used
}

func (s *modelServer) startStep() {
	if s.stepping || s.requests() == 0 {
		return
	}
	s.stepping = true
	s.admit()
	boot := s.boot
	s.lastStep = s.stepTime()
	s.clock.after(s.lastStep, func() {
		s.stepping = false
		if s.boot == boot {
			s.endStep()
		}
	})
}

// admit moves waiting requests into the batch while their prompts fit.
func (s *modelServer) admit() {
	used := s.kvUsed()
	for len(s.waiting) > 0 && len(s.running) < serverBatch {
		q := s.waiting[0]
		if used+q.prompt > serverKVTokens {
			return
		}
		s.waiting = s.waiting[1:]
		q.cachedTokens = min(s.lookup(q.blocks)*blockTokens, q.prompt-1)
		q.prefill = q.prompt - q.cachedTokens
		s.hitTokens += q.cachedTokens
		s.allTokens += q.prompt
		used += q.prompt
		s.running = append(s.running, q)
	}
}

func (s *modelServer) stepTime() time.Duration {
	budget, decoding := serverChunk, 0
	for _, q := range s.running {
		if q.prefill == 0 {
			decoding++
			continue
		}
		budget -= min(budget, q.prefill)
	}
	d := serverStep + time.Duration(decoding)*serverStepPerSeq
	d += time.Duration(serverChunk-budget) * time.Second / serverPrefill
	if s.maxRequests() < serverBatch {
		d *= serverColdFactor
	}
	return d * time.Duration(max(s.slowdown, 1))
}

func (s *modelServer) endStep() {
	budget := serverChunk
	kept := s.running[:0]
	var ended []*sequence
	for _, q := range s.running {
		if q.prefill > 0 {
			n := min(budget, q.prefill)
			budget -= n
			q.prefill -= n
			if q.prefill == 0 {
				s.store(q.blocks)
				q.outputDone = 1
				q.first()
			}
		} else {
			q.outputDone++
			q.token(s.lastStep)
		}
		if q.outputDone >= q.output {
			ended = append(ended, q)
			continue
		}
		kept = append(kept, q)
	}
	s.running = kept
	for _, q := range ended {
		if q.phase == s.phase {
			s.completed++
		}
		q.done(true)
	}
	if s.kvUsed() > serverKVTokens {
		s.crash()
		return
	}
	s.shrinkCache()
	s.startStep()
}
