// Package position orders what a log says, also after the log came back from an older
// copy of itself.
//
// A log numbers its records with offsets. One that is restored from a copy gives out the
// offsets after the end of the copy once more, so offsets alone don't tell which of two
// statements is later. Such a log names its era, which is higher after each restore. A
// Position holds both. Positions are ordered by their numbers:
//
//	before, _ := position.At(1, 15) // offset 15 in the first era
//	after, _ := position.At(2, 9)   // a later record, after a restore
//	before < after                  // true
//	after + 1                       // the position of the next record
//
// A log without eras is in era 0, where a Position equals the offset.
package position
