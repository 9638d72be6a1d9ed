package listing

// Guard is a set of parts of the rules that tests disable to show that they are needed.
type Guard uint

const (
	ByOffset Guard = 1 << iota // a higher offset takes precedence over a later time
	Heard                      // no grace if the store answered another instance meanwhile
	Most                       // no grace unless most entries were removed
	Settled                    // no grace for a removal that a keeper read while the store answered it
	Early                      // no grace for entries that were removed before the store outage
	Late                       // no grace for entries that were removed after most servers had registered again
	Names                      // keepers announce departures of workers of all data centres
)

func (r Rules) enabled(g Guard) bool { return r.Off&g == 0 }
