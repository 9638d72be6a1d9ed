// Package metastore is a stand-in for the metadata store of the users' platform:
// keyed topics with one partition each, served over HTTP/1.1. It can simulate faults
// of the store.
//
//	store := metastore.New()
//	store.Put("keyed.op", "config", body)
//	server := httptest.NewServer(store)
package metastore
