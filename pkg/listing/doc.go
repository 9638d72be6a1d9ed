// Package listing merges what an instance knows about the entries of the backend
// servers in the platform's list. Its sources are its own reads of the list and the
// announcements of the keepers.
//
// Each source states the position up to which it has read the list, and when. The
// source with the higher position takes precedence; if the positions are equal, the
// later one. So the removal of an entry, or the draining of a server, can be
// reverted only by a later record, and never by an older list or a source that
// falls behind.
//
// A store that was restored from a copy lists older states of entries at later positions.
// Runs and sequence numbers order the states of an entry then, and a run that is known to
// have left stays so until the store has had time to remove its entry.
//
//	list := listing.New(rules)
//	list, changes := list.WithRead(listing.Batch{Records: records, Full: true, End: end, Ended: now})
//	list, changes = list.WithAnnouncement("eu-1", announcement)
//	for _, s := range list.Roster().All() { ... }
package listing
