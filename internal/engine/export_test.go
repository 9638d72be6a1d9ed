package engine

// Switches that turn checks off in tests.
var (
	DisabledBootCheck = &disabledBootCheck
	DisabledIDCheck   = &disabledIDCheck
)
