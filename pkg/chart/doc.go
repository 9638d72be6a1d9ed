// Package chart interprets state charts that are kept in TOML files.
//
// A chart names its states, the first of them, the final ones, and its transitions:
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
// Parse reports every fault of a file at once, each with its line:
//
//	c, err := chart.Parse("door.toml", data)
//	next, ok := c.Next(c.Initial(), "Close") // "Shut", true
package chart
