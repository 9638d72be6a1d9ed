// Package replica keeps the states that an entry instance follows from the
// platform's log: the fleet's configuration and its data centre's placement.
//
//	config := replica.NewConfig(replica.Options{Log: log, Writer: "entry-1"})
//	go config.Run(ctx)
//	verdict, err := config.Submit(ctx, journal.NewID(), "operator", fleet.UsePreset("peak"))
package replica
