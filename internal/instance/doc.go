// Package instance runs an entry instance whose state lasts in a store of its
// platform: it follows the operator's configuration and the list of backend
// servers, relays both between neighbours, looks after the groups of its data
// centre in turn with them, and serves clients. How the platform's store and its
// backend servers are spoken to is left to an adapter, see Platform.
package instance
