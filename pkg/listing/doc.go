// Package listing decides what an instance believes of the backend servers'
// entries in the platform's list, whatever brought it: its own reads of the list,
// or the keepers' words on what they have read.
//
// Each source says up to which offset it has read, and when. The one that has
// read further goes; of two that have read equally far, the later one. So a
// removal, or a report that a server is draining, is undone only by a later
// record, never by an older list or by a source that falls silent.
//
//	list := listing.New(listing.Rules{Silence: 2400 * time.Millisecond, Grace: 2 * time.Second, Trust: time.Second})
//	list, changes := list.WithRead(listing.Batch{Records: records, Full: true, End: end, Ended: now})
//	list, changes = list.WithAnnouncement("eu-1", word)
//	for _, s := range list.Roster().All() { ... }
package listing
