// Package limit enforces limits on backend servers that hold over all entry
// instances of a data centre together, without a clock and without a
// coordinator.
//
// A [Table] splits each backend server's limit over its members, so that the
// shares sum exactly to the limit. A [Ledger] is one member's book: it admits
// requests within the member's share and lends unused parts of it to other
// members. A loan counts at the lender until the borrower has returned it or is
// certainly gone, so a lost message can waste capacity but never create it.
//
// After a new table or new limits a ledger keeps to the smallest of the old and
// new shares until every member that may still use an old one has settled or is
// certainly gone. A member is certainly gone when its process has ended; the
// requests that it had sent are assumed to end with their connections.
//
// A cold backend server starts at [Limit.ColdInFlight] for each boot ID. The
// member that ranks first for it doubles the level after as many completions
// and publishes it. For one boot ID and cold epoch the level only grows, so a
// member with an old reading uses less, never more.
//
// Messages are plain values; the caller carries them. Any of them may be lost,
// repeated, delayed or reordered.
package limit
