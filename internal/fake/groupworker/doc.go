// Package groupworker is a stand-in for the workers of the users' platform:
// model workers that form groups by order, and plain workers. They speak HTTP/1.1
// and keep their entries in a stand-in of the metadata store.
//
// A Fleet judges what it sees: it records each request that runs in a group which
// isn't whole, and each worker that joins a group while the head of its own is open.
package groupworker
