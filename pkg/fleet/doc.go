// Package fleet holds the configuration of a deployment that all entry
// instances agree on.
//
// A fleet file in TOML is read by Parse, which returns every finding with its
// place. State is the replicated state machine of the configuration stream:
// replicas that fold the same entries with Apply have the same State, whose
// Config, Preset and Offset belong together. Operators change it by records:
//
//	record, err := state.Record(journal.NewID(), "ana", fleet.UsePreset("peak"))
//
// A record names the version of the item that it replaces. Of two operators who
// replace the same version, the one whose record comes first on the log wins;
// the other's verdict names the winner.
//
// Format numbers the kinds and fields of records. A record of a known format
// with an unknown kind or field is refused, and one of a newer format stops the
// state, so two releases never reach different states at the same offset.
package fleet
