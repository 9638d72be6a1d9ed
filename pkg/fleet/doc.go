// Package fleet defines the configuration of a deployment. All entry instances have the
// same configuration, since they replicate it.
//
// Parse reads a fleet file in TOML, and returns all findings with their positions.
// State is the replicated state machine of the configuration stream. Replicas that
// apply the same entries have the same State. Config, Preset and Offset of one State
// belong together. Operators change the configuration by appending records to the
// stream:
//
//	record, err := state.Record(journal.NewID(), "ana", fleet.UsePreset("peak"))
//
// A record contains the version of the item that it replaces. If two operators replace
// the same version, the record that is first on the log is accepted. The other one is
// refused, and its verdict contains the version that won.
//
// Format is the version number of the set of record kinds and fields. A record of a
// known format with an unknown kind or field is refused. A record of a newer format
// stops the state machine. So two releases never have different states at the same
// offset.
package fleet
