// Package neighbour exchanges digests between the entry instances over UDP. A
// digest says, for example, which load an instance has put on which place. Lost
// digests are not sent again, because the next one replaces them. Safety does not
// depend on the exchange: an instance that reaches no peer serves with its own data.
package neighbour
