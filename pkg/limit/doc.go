// Package limit enforces limits on backend servers across all entry instances of a
// data centre, without a clock and without a coordinator.
//
// A [Table] splits each backend server's limit among its members, so that the
// shares sum exactly to the limit. A [Ledger] belongs to one member. It admits
// requests within the member's share and lends unused parts of it to other
// members. A loan counts against the lender's share until the borrower has returned
// it or is certainly gone, so a lost message can waste capacity but never create it.
//
// After a new table or new limits, a ledger uses the smallest of the old and new
// shares until every member that may still use an old one has settled or is
// certainly gone. A member has settled when its requests and loans fit in its new
// shares. It is certainly gone when its process has ended; the requests that it had
// sent are assumed to end with their connections.
//
// A cold backend server starts at [Limit.ColdInFlight] for each boot ID. The
// member that ranks first for it doubles the level after as many completed requests
// as the level, and publishes it. Within one boot ID and cold epoch the level only
// grows, so a member with an outdated level uses less, never more.
//
// Messages are plain values, which the caller sends. Any of them may be lost,
// duplicated, delayed or reordered.
package limit
