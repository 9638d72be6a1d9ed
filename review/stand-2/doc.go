// Package stand2 has the stand-ins of the second review: model workers that form groups,
// plain workers, clients, and a runner that starts entry instances as separate processes
// with the command of the deploy file. The store is the project's own stand-in, package
// metastore.
package stand2
