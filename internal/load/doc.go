// Package load sends a mix of streamed drafts and orders to entry instances and
// checks every answer: whether a whole answer is the right one, and whether what
// was told of an order agrees with what the service ran.
//
//	report := load.Run(ctx, load.Options{Targets: targets, Callers: 20, Model: "atelier-70b"})
//	report.Print(os.Stdout)
package load
