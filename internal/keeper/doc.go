// Package keeper manages the groups of one data centre. It probes workers for
// their reports where the platform's list is not sufficient, has package
// formation decide, and sends the resulting orders to the workers.
//
// The entry instances of a data centre that receive each other's digests agree
// on one of them as the keeper. Safety does not depend on that agreement: each
// order carries the number of orders that its worker had begun when the order was
// decided on, so of two conflicting orders from concurrent keepers a worker
// accepts at most one.
package keeper

//go:generate go tool stringer -type=Outcome,Source -output=keeper_string.go
