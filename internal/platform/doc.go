// Package platform is the HTTP client of the platform: its append-only log,
// its list of instances and its weight store.
//
//	client := platform.New("127.0.0.1:7000")
//	log := client.Log() // a journal.Log
//	offset, err := log.Append(ctx, "config", record)
package platform
