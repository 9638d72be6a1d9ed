// Package ratelimit keeps the limits on requests per second that backend servers name,
// together with all instances that send requests to them.
//
// A Table holds an account of each limited server: the limit, and what every instance
// has sent, which decays with time. Instances exchange Reports, which may arrive late, repeatedly
// or not at all. Each instance admits a part of what is left of the limit, by its share of
// the demand, so that the instances need no coordinator and no common clock:
//
//	var table ratelimit.Table
//	table.Note(now, "server-1", 1, 5) // an answer of run 1 named 5 requests per second
//	peer.Merge(now, "instance-1", table.Reports(now))
//	table.SetDemand("server-1", 12) // requests per second that this instance would send
//	if !table.Admits(now, "server-1", 1, fleet) {
//		// send the request elsewhere, or let it wait
//	}
//	table.Spend(now, "server-1")
//
// An instance whose reports don't arrive is assumed to use a part like the others. What
// instances admit at the same time, before they hear of each other, can exceed the limit
// for a moment; the account then admits nothing until that has decayed.
package ratelimit
