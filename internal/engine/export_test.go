package engine

// Switches of the guards, for tests.
var (
	DisabledBootCheck = &disabledBootCheck
	DisabledIdentity  = &disabledIdentity
)
