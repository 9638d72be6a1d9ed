// Package replica replicates states from the platform's log to an entry instance: the
// fleet's configuration and the placement of its data centre.
//
//	config := replica.NewConfig(replica.Options{Log: log, Writer: "entry-1"})
//	go config.Run(ctx)
//	verdict, err := config.Submit(ctx, journal.NewID(), "operator", fleet.UsePreset("peak"))
package replica
