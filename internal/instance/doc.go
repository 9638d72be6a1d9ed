// Package instance runs an entry instance on a platform whose metadata store
// holds all lasting state. An instance follows the operator's configuration and
// the list of backend servers, shares both with its peers, manages the groups of
// its data centre while it is the keeper, and serves clients. An adapter gives
// access to the platform's store and backend servers; see Platform.
package instance
