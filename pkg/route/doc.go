// Package route chooses the group, and so the backend server, that runs a
// request. [View.Choose] is a pure function of a request and an immutable
// [View].
//
// The order of the choice: groups that the preset in force allows for the
// client account, that are whole, open and have room; among them the one that
// holds the longest cached prefix of the prompt, unless its load is above a
// bound; otherwise the one with less estimated work of two drawn at random. The
// caller's own data centre comes first. A neighbour gets work when the own one
// is closed or full, within a part of the room that it last reported.
package route
