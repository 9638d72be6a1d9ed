// Package metastore is a stand-in for the metadata store of the users' platform:
// keyed topics of one partition over HTTP/1.1, with the faults that the store
// may have.
//
//	store := metastore.New()
//	store.Put("keyed.op", "config", body)
//	server := httptest.NewServer(store)
package metastore
