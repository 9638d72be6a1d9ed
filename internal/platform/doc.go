// Package platform is an HTTP client of the platform's append-only log, list of
// instances and weight store.
//
//	client := platform.New("127.0.0.1:7000")
//	log := client.Log() // a journal.Log
//	offset, err := log.Append(ctx, "config", record)
package platform
