package gateway

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// newTicket returns the ticket by which the request is assigned a place other than
// those tried, with a latency objective that begins at start.
func (q *request) newTicket(start time.Time, tried []string) *dispatch.Ticket {
	objective := q.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	ticket := &dispatch.Ticket{
		Service:           q.service.Name,
		DataCentre:        q.gateway.DataCentre,
		Priority:          q.priority,
		LatestOnTimeStart: start.Add(objective),
		LatestStart:       start.Add(objective),
		Tried:             tried,
		Arrived:           start,
	}
	if q.service.Engine != nil {
		ticket.Model = q.call.Model
		ticket.PromptTokens = q.call.PromptTokens
		firstEvent := q.gateway.Places.TimeToFirstEvent(q.service.Name, q.call.Model)
		if firstEvent == 0 {
			firstEvent = estimateFirstEvent(q.service.Engine, q.call.Model, q.call.PromptTokens)
		}
		ticket.LatestOnTimeStart = ticket.LatestOnTimeStart.Add(-firstEvent)
		ticket.LatestStart = ticket.LatestOnTimeStart
	}
	if q.deadline.Before(ticket.LatestStart) {
		ticket.LatestStart = q.deadline
	}
	return ticket
}

// estimateFirstEvent estimates the time from sending a request to its first event
// at a group with a usual load: half a pass of the running requests, the prefill of
// the prompt, and one step for the first token.
func estimateFirstEvent(e *catalog.Engine, model string, prompt int) time.Duration {
	properties, ok := e.Model(model)
	if !ok || e.PromptRate <= 0 {
		return 0
	}
	step := e.StepTime + time.Duration(e.Slots/2)*e.StepPerRequest
	pass := time.Duration(max(e.StepsPerPass, 1)) * step
	prefill := time.Duration(float64(prompt) / e.PromptRate * float64(time.Second))
	return time.Duration(max(properties.Pace, 0.01) * float64(pass/2+prefill+step))
}
