// Package chart interprets state charts that are defined in TOML files.
//
// A chart lists its states, the initial state, the final states and the transitions:
//
//	Name = "Door"
//	Initial = "Open"
//	States = ["Open", "Shut"]
//
//	[[Transition]]
//	From = ["Open"]
//	Event = "Close"
//	To = "Shut"
//
// Parse reports all errors of a file at once, each with its line:
//
//	c, err := chart.Parse("door.toml", data)
//	next, ok := c.Next(c.Initial(), "Close") // "Shut", true
package chart
