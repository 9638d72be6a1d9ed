package chart

import (
	"fmt"
	"slices"
)

// checker converts a document to a chart and collects the errors that it finds.
type checker struct {
	file     string
	doc      document
	lines    map[position]int
	findings []Finding
}

func (p *checker) report(at position, format string, args ...any) {
	line, ok := p.lines[at]
	if !ok {
		line = p.lines[position{at.transition, ""}]
	}
	p.findings = append(p.findings, Finding{p.file, line, fmt.Sprintf(format, args...)})
}

func (p *checker) check() Chart {
	c := Chart{
		name:        p.doc.Name,
		initial:     p.doc.Initial,
		states:      p.doc.States,
		final:       p.doc.Final,
		transitions: make(map[transitionKey]string),
	}
	p.checkHeader(c)
	for i, t := range p.doc.Transition {
		p.checkTransition(c, i, t)
	}
	p.checkReachability(c)
	return c
}

func (p *checker) checkHeader(c Chart) {
	if c.name == "" {
		p.report(position{topLevel, "Name"}, "the chart has no Name")
	}
	if len(c.states) == 0 {
		p.report(position{topLevel, "States"}, "the chart has no States")
	}
	for i, s := range c.states {
		if s == "" {
			p.report(position{topLevel, "States"}, "a state has an empty name")
		}
		if slices.Contains(c.states[:i], s) {
			p.report(position{topLevel, "States"}, "state %q is named twice", s)
		}
	}
	p.checkState(c, position{topLevel, "Initial"}, c.initial)
	for _, s := range c.final {
		p.checkState(c, position{topLevel, "Final"}, s)
	}
}

func (p *checker) checkState(c Chart, at position, state string) {
	if !c.Has(state) {
		p.report(at, "state %q is not one of States", state)
	}
}

func (p *checker) checkTransition(c Chart, i int, t transition) {
	p.checkState(c, position{i, "To"}, t.To)
	if t.Event == "" {
		p.report(position{i, "Event"}, "the transition has no Event")
	}
	if len(t.From) == 0 {
		p.report(position{i, "From"}, "the transition has no From")
	}
	for _, from := range t.From {
		p.checkState(c, position{i, "From"}, from)
		if c.Final(from) {
			p.report(position{i, "From"}, "final state %q has a transition", from)
		}
		e := transitionKey{from, t.Event}
		if _, ok := c.transitions[e]; ok {
			p.report(position{i, "Event"}, "state %q has two transitions on %q", from, t.Event)
		}
		c.transitions[e] = t.To
	}
}

// checkReachability reports states that cannot be reached from the initial state,
// and states without outgoing transitions that are not final.
func (p *checker) checkReachability(c Chart) {
	reached := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, event := range c.Events(state) {
			next, _ := c.Next(state, event)
			if reached[next] {
				continue
			}
			reached[next] = true
			queue = append(queue, next)
		}
	}
	for _, s := range c.states {
		if !reached[s] {
			p.report(position{topLevel, "States"}, "state %q cannot be reached from %q", s, c.initial)
		}
		if !c.Final(s) && len(c.Events(s)) == 0 {
			p.report(position{topLevel, "States"}, "state %q has no transition and is not final", s)
		}
	}
}
