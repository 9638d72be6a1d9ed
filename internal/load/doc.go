// Package load generates a load of streamed completions (drafts) and orders to a
// plain service, sends it to entry instances and checks every answer: whether a
// complete answer has the right content, and whether the reported outcome of an order
// agrees with how many times the service ran it.
//
//	report := load.Run(ctx, load.Options{Targets: targets, Callers: 20, Model: "atelier-70b"})
//	report.Print(os.Stdout)
package load
