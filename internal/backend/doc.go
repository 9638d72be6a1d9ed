// Package backend watches the backend servers of a data centre and holds the
// connections to them.
//
// Each backend server is asked by a few observers only. They publish what they
// hear to the other entry instances, so the number of calls does not grow with
// the number of entry instances.
//
//	watcher := backend.NewWatcher(options)
//	go watcher.Run(ctx)
//	reports := watcher.Reports()
package backend
