package claim

import (
	"fmt"
	"reflect"
	"slices"
)

// answerSettledCall answers a call whose attempt lost its claim or expired.
func (m *machine) answerSettledCall() error {
	c := m.pickCall(func(c *call) bool { return !c.answered && c.attempt != nil && c.attempt.phase != phaseWaiting })
	if c == nil {
		return nil
	}
	switch c.attempt.phase {
	case phaseExpired:
		return m.answerCaller(c, expiredDecision().Outcome)
	case phaseLost:
		d, done := m.resolveHeldKey(c.process.participant.shard.Lookup(c.key.key), c.digest)
		if !done {
			return nil
		}
		return m.answerCaller(c, d.Outcome)
	}
	return nil
}

func (m *machine) giveUpCall() error {
	c := m.pickCall(func(c *call) bool { return !c.answered && c.attempt != nil && c.attempt.phase == phaseWaiting })
	if c == nil || !c.process.participant.giveUp(c.attempt, "deadline") {
		return nil
	}
	return m.answerCaller(c, (&UnavailableError{}).Outcome(c.first || m.treatAllAsFirst))
}

// useGrant sends the request of a granted attempt. With guardSingleUse disabled it may
// send it twice.
func (m *machine) useGrant() error {
	c := m.pickCall(func(c *call) bool { return c.attempt != nil && c.attempt.phase == phaseWon })
	if c == nil || c.process.participant.use(c.attempt) != nil {
		return nil
	}
	k := c.key
	if c.answered {
		return fmt.Errorf("key %v runs after its caller got outcome %v", k.key, c.outcome.Kind)
	}
	if k.ranStep != 0 {
		return fmt.Errorf("key %v runs twice, first in step %d", k.key, k.ranStep)
	}
	k.ranStep, c.ranStep = m.step, m.step
	k.digest = c.digest
	k.answer = NewAnswer(200+m.pick(2), nil, nil, fmt.Append(nil, m.step), 4*m.pick(2))
	return nil
}

// endGrant ends a grant: with Complete or Abandon if the request was sent, else with
// Release.
func (m *machine) endGrant() error {
	c := m.pickCall(func(c *call) bool { return !c.answered && c.attempt != nil && c.attempt.phase == phaseWon })
	if c == nil {
		return nil
	}
	part := &c.process.participant
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
	return m.answerCaller(c, out)
}

// answerCaller records the outcome that a caller gets and checks it against the ground
// truth.
func (m *machine) answerCaller(c *call, out Outcome) error {
	c.answered = true
	c.answeredStep = m.step
	c.outcome = out
	k := c.key
	switch out.Kind {
	case NotRun:
		if c.ranStep != 0 || k.ranStep != 0 && k.ranStep < c.beganStep {
			return fmt.Errorf("key %v is reported as not run, but ran in step %d before step %d", k.key, k.ranStep, c.beganStep)
		}
	case Replay:
		want := k.answer
		if !out.Answer.Kept {
			want = want.WithoutBody()
		}
		if k.ranStep == 0 || !reflect.DeepEqual(out.Answer, want) || c.digest != k.digest {
			return fmt.Errorf("key %v got answer %v, want %v", k.key, out.Answer, want)
		}
	case Conflict:
		sameRequest := func(other *call) bool { return other.digest == c.digest }
		if !slices.ContainsFunc(k.calls, func(other *call) bool { return !sameRequest(other) }) {
			return fmt.Errorf("key %v got outcome Conflict, but all its requests are the same", k.key)
		}
	}
	return nil
}

// checkStuckKeys returns an error if an attempt that has ended holds a key, since no
// attempt could ever run the key then.
func (m *machine) checkStuckKeys() error {
	if m.ignoreStuckKeys {
		return nil
	}
	for _, c := range m.calls {
		a := c.attempt
		if a == nil || c.ended || !isClosed(a.recorded) {
			continue
		}
		status := m.fullShard.Lookup(c.key.key)
		known := c.process.participant.shard.Lookup(c.key.key).State != StateExpired
		if known && status.State == StateRunning && status.Claim == a.claim {
			return fmt.Errorf("key %v is held by an attempt that ended in phase %d", c.key.key, a.phase)
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
