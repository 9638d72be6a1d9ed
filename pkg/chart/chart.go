package chart

import (
	"slices"
)

// Chart is an immutable state chart. The zero value has no states.
type Chart struct {
	name        string
	initial     string
	states      []string
	final       []string
	transitions map[transitionKey]string
}

// transitionKey identifies a transition by its source state and event.
type transitionKey struct {
	state string
	event string
}

// Name returns the chart's name.
func (c Chart) Name() string { return c.name }

// Initial returns the initial state.
func (c Chart) Initial() string { return c.initial }

// States returns all states in the order of the file.
func (c Chart) States() []string { return slices.Clone(c.states) }

// Has reports whether the chart has the state.
func (c Chart) Has(state string) bool { return slices.Contains(c.states, state) }

// Final reports whether the state is final, that is, without outgoing transitions.
func (c Chart) Final(state string) bool { return slices.Contains(c.final, state) }

// Next returns the state that the event leads to. It returns the given state and
// false if the chart has no such transition.
func (c Chart) Next(state, event string) (string, bool) {
	next, ok := c.transitions[transitionKey{state, event}]
	if !ok {
		return state, false
	}
	return next, true
}

// Events returns the events that have a transition from the state, sorted.
func (c Chart) Events(state string) []string {
	var events []string
	for e := range c.transitions {
		if e.state == state {
			events = append(events, e.event)
		}
	}
	slices.Sort(events)
	return events
}
