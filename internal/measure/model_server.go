package measure

import (
	"container/list"
	"fmt"
	"time"
)

// Constants of a modelled backend server.
const (
	serverBatch       = 24
	serverKVTokens    = 72000
	serverPrefill     = 12000 // tokens a second
	serverChunk       = 1024  // prompt tokens that one step prefills
	serverStep        = 25 * time.Millisecond
	serverStepPerSeq  = 500 * time.Microsecond
	serverColdFactor  = 3 // a cold one is so much slower
	serverColdBears   = 1 // requests at boot; doubles with as many completions
	serverColdTipping = 2 // a cold one falls over above so many times what it bears
	serverRestart     = 8 * time.Second
	blockTokens       = 64
)

// sequence is one request at a backend server.
type sequence struct {
	blocks  []uint64
	prompt  int
	output  int
	prefill int // prompt tokens that are still to be computed
	made    int // output tokens
	hit     int // prompt tokens from the prefix cache
	phase   int // of the server when it came
	first   func()
	token   func(between time.Duration)
	done    func(whole bool)
}

func (s *sequence) held() int { return s.prompt + s.made }

// modelServer batches continuously, caches prompt prefixes in the memory that
// its requests leave, is slow and frail in cold start, and falls over when its
// requests outgrow its memory.
type modelServer struct {
	clock      *modelClock
	name       string
	dataCentre string
	boot       int
	up         bool
	warm       bool
	phase      int // grows each time that it turns cold
	completed  int // in this phase
	slow       int // times slower than the others; 0 counts as 1
	waiting    []*sequence
	running    []*sequence
	stepping   bool
	lastStep   time.Duration
	cache      *list.List // of block hashes, most recent first
	cached     map[uint64]*list.Element
	stored     []uint64 // since the last cache event
	removed    []uint64
	events     uint64

	onSubmit  func() // nil does nothing
	falls     int
	overloads int // requests that came above what it bears
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

// bears is how many requests it can hold.
func (s *modelServer) bears() int {
	if s.warm {
		return serverBatch
	}
	bears, needed := serverColdBears, serverColdBears
	for s.completed >= needed && bears < serverBatch {
		bears *= 2
		needed += bears
	}
	return min(bears, serverBatch)
}

// speed is the prompt tokens a second that it prefills.
func (s *modelServer) speed() int {
	if s.bears() < serverBatch {
		return serverPrefill / serverColdFactor / max(s.slow, 1)
	}
	return serverPrefill / max(s.slow, 1)
}

// pending counts prompt tokens that wait for prefill.
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

// holdsNew counts what came since it turned cold; the rest only runs out.
func (s *modelServer) holdsNew() int {
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

func (s *modelServer) holds() int { return len(s.waiting) + len(s.running) }

// submit takes a request, or reports that the connection was refused.
func (s *modelServer) submit(q *sequence) bool {
	if !s.up {
		return false
	}
	if s.onSubmit != nil {
		s.onSubmit()
	}
	q.phase = s.phase
	s.waiting = append(s.waiting, q)
	if s.holdsNew() > s.bears() {
		s.overloads++
	}
	if !s.warm && s.holdsNew() > serverColdTipping*s.bears() {
		s.fall()
		return true
	}
	s.startStep()
	return true
}

// fall ends everything that runs; the server comes back cold.
func (s *modelServer) fall() {
	s.falls++
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

// start is the end of a restart.
func (s *modelServer) start() {
	s.up = true
	s.turnCold()
}

// turnCold makes it slow and frail without a new boot ID.
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
	if s.stepping || s.holds() == 0 {
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
		q.hit = min(s.lookup(q.blocks)*blockTokens, q.prompt-1)
		q.prefill = q.prompt - q.hit
		s.hitTokens += q.hit
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
	if s.bears() < serverBatch {
		d *= serverColdFactor
	}
	return d * time.Duration(max(s.slow, 1))
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
				q.made = 1
				q.first()
			}
		} else {
			q.made++
			q.token(s.lastStep)
		}
		if q.made >= q.output {
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
		s.fall()
		return
	}
	s.shrinkCache()
	s.startStep()
}
