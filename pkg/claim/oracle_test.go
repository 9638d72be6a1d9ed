package claim

import (
	"fmt"
	"reflect"
	"slices"
)

// decide tells a caller whose attempt is settled what became of the key.
func (m *machine) decide() error {
	c := m.call(func(c *call) bool { return !c.told && c.attempt != nil && c.attempt.phase != phaseWaiting })
	if c == nil {
		return nil
	}
	switch c.attempt.phase {
	case phaseExpired:
		return m.tell(c, expired().Outcome)
	case phaseLost:
		d, done := m.judge(c.process.part.shard.Lookup(c.key.key), c.digest)
		if !done {
			return nil
		}
		return m.tell(c, d.Outcome)
	}
	return nil
}

func (m *machine) giveUp() error {
	c := m.call(func(c *call) bool { return !c.told && c.attempt != nil && c.attempt.phase == phaseWaiting })
	if c == nil || !c.process.part.giveUp(c.attempt, "deadline") {
		return nil
	}
	return m.tell(c, (&UnavailableError{}).Outcome(c.first || m.anyFirst))
}

// use sends the request of an attempt that was granted. With a guard off it may
// do so a second time.
func (m *machine) use() error {
	c := m.call(func(c *call) bool { return c.attempt != nil && c.attempt.phase == phaseWon })
	if c == nil || c.process.part.use(c.attempt) != nil {
		return nil
	}
	k := c.key
	if c.told {
		return fmt.Errorf("key %v runs after its attempt was told %v", k.key, c.outcome.Kind)
	}
	if k.ranAt != 0 {
		return fmt.Errorf("key %v runs twice, first in step %d", k.key, k.ranAt)
	}
	k.ranAt, c.ranAt = m.step, m.step
	k.digest = c.digest
	k.answer = NewAnswer(200+m.pick(2), nil, nil, fmt.Append(nil, m.step), 4*m.pick(2))
	return nil
}

// finish ends a grant: after a run by its answer or as lost, before by a release.
func (m *machine) finish() error {
	c := m.call(func(c *call) bool { return !c.told && c.attempt != nil && c.attempt.phase == phaseWon })
	if c == nil {
		return nil
	}
	part := &c.process.part
	var err error
	out := Outcome{Kind: NotRun}
	switch {
	case !c.attempt.used:
		err = part.end(c.attempt, phaseReleased, Answer{}, "not sent")
	case m.pick(4) == 0:
		out.Kind = Unknown
		err = part.end(c.attempt, phaseAbandoned, Answer{}, "connection lost")
	default:
		out = Outcome{Kind: Replay, Answer: c.key.answer}
		err = part.end(c.attempt, phaseCompleted, c.key.answer, "")
	}
	if err != nil {
		return err
	}
	return m.tell(c, out)
}

// tell compares what a caller is told with what truly happened.
func (m *machine) tell(c *call, out Outcome) error {
	c.told = true
	c.toldAt = m.step
	c.outcome = out
	k := c.key
	switch out.Kind {
	case NotRun:
		if c.ranAt != 0 || k.ranAt != 0 && k.ranAt < c.began {
			return fmt.Errorf("key %v is told not run, ran in step %d before step %d", k.key, k.ranAt, c.began)
		}
	case Replay:
		want := k.answer
		if !out.Answer.Kept {
			want = want.WithoutBody()
		}
		if k.ranAt == 0 || !reflect.DeepEqual(out.Answer, want) || c.digest != k.digest {
			return fmt.Errorf("key %v is told %v, truth is %v", k.key, out.Answer, want)
		}
	case Conflict:
		same := func(other *call) bool { return other.digest == c.digest }
		if !slices.ContainsFunc(k.calls, func(other *call) bool { return !same(other) }) {
			return fmt.Errorf("key %v is told conflict, all requests are the same", k.key)
		}
	}
	return nil
}

// checkHolders finds keys that a finished attempt holds, so that nobody could
// ever run them.
func (m *machine) checkHolders() error {
	if m.runsOnly {
		return nil
	}
	for _, c := range m.calls {
		a := c.attempt
		if a == nil || c.ended || !isClosed(a.written) {
			continue
		}
		h := m.full.Lookup(c.key.key)
		known := c.process.part.shard.Lookup(c.key.key).State != StateExpired
		if known && h.State == StateRunning && h.Claim == a.claim {
			return fmt.Errorf("key %v is held by an attempt that ended as %d", c.key.key, a.phase)
		}
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
