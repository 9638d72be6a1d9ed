// Package backend polls the backend servers of a data centre and keeps the clients that
// connect to them.
//
// Only a few entry instances poll each backend server: its observers. They publish the
// reports to the other entry instances, so that the number of calls does not grow with
// the number of entry instances.
//
//	watcher := backend.NewWatcher(options)
//	go watcher.Run(ctx)
//	reports := watcher.Reports()
package backend
