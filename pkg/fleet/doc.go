// Package fleet holds the configuration of a deployment that all entry
// instances agree on.
package fleet
