// Package groupworker is a stand-in for the workers of the users' platform: model
// workers, which form groups when a keeper orders it, and plain workers. They speak
// HTTP/1.1 and write their entries to a stand-in of the metadata store.
//
// A Fleet records violations: each request that runs in a group with the wrong
// number of members, and each worker that joins another group while the head of its
// current group is open or closing.
package groupworker
