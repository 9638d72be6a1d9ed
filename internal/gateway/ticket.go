package gateway

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// ticket is what the request is placed by.
func (q *request) ticket(s *streamState) *dispatch.Ticket {
	objective := q.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	from := q.arrived
	if s.begun {
		from = time.Now()
	}
	t := &dispatch.Ticket{
		Service:           q.service.Name,
		DataCentre:        q.gateway.DataCentre,
		Priority:          q.priority,
		LatestOnTimeStart: from.Add(objective),
		LatestStart:       from.Add(objective),
		Tried:             q.tried,
		Arrived:           from,
	}
	if q.service.Engine != nil {
		t.Model = q.call.Model
		t.PromptTokens = q.call.PromptTokens
		first := q.gateway.Places.FirstEvent(q.service.Name, q.call.Model)
		if first == 0 {
			first = firstEventTime(q.service.Engine, q.call.Model, q.call.PromptTokens)
		}
		t.LatestOnTimeStart = t.LatestOnTimeStart.Add(-first)
		t.LatestStart = t.LatestOnTimeStart
	}
	if q.deadline.Before(t.LatestStart) {
		t.LatestStart = q.deadline
	}
	return t
}

// firstEventTime estimates the time from the sending of a request to its first
// event at a group with a usual load: half a pass of the others, the reading of
// the prompt, and a pass of its own.
func firstEventTime(e *catalog.Engine, model string, prompt int) time.Duration {
	m, ok := e.Model(model)
	if !ok || e.PromptRate <= 0 {
		return 0
	}
	step := e.Step + time.Duration(e.Slots/2)*e.StepPerRequest
	pass := time.Duration(max(e.Stride, 1)) * step
	reading := time.Duration(float64(prompt) / e.PromptRate * float64(time.Second))
	return time.Duration(max(m.Pace, 0.01) * float64(pass/2+reading+step))
}
