// Package listing merges what an instance knows about the entries of the backend
// servers in the platform's list. Its sources are its own reads of the list and the
// announcements of the keepers.
//
// Each source states the offset up to which it has read the list, and when. The
// source with the higher offset takes precedence; if the offsets are equal, the
// later one. So the removal of an entry, or the draining of a server, can be
// reverted only by a later record, and never by an older list or a source that
// falls behind.
//
//	list := listing.New(rules)
//	list, changes := list.WithRead(listing.Batch{Records: records, Full: true, End: end, Ended: now})
//	list, changes = list.WithAnnouncement("eu-1", announcement)
//	for _, s := range list.Roster().All() { ... }
package listing
