package instance

import (
	"time"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/listing"
)

// maxUsableLines bounds the lines of a second, should all workers come and go.
const maxUsableLines = 200

// usable logs when a worker begins or ceases to take requests here, and what
// decided that. The zero value is ready.
type usable struct {
	centres map[string]string // data centre of each worker that takes requests
	second  time.Duration     // in which the lines are counted
	lines   int
}

// note compares the places with those before.
func (u *usable) note(log *telemetry.Log, l gateway.Layout, choices []gateway.UsablePlace) {
	centres := make(map[string]string, len(choices))
	for _, c := range choices {
		centres[c.ID] = c.DataCentre
		if _, was := u.centres[c.ID]; !was {
			u.line(log, "worker usable", c.ID, c.DataCentre, l.Now, c.DecidedBy)
		}
	}
	for id, dataCentre := range u.centres {
		if _, is := centres[id]; !is {
			u.line(log, "worker not usable", id, dataCentre, l.Now, l.DecidedBy(dataCentre))
		}
	}
	u.centres = centres
}

func (u *usable) line(log *telemetry.Log, event, worker, dataCentre string, now time.Duration, by listing.Statement) {
	if second := now.Truncate(time.Second); second != u.second {
		u.second, u.lines = second, 0
	}
	u.lines++
	switch {
	case u.lines < maxUsableLines:
		log.Info(event, telemetry.Fields{
			"worker": worker, "data_centre": dataCentre, "source": by.Source.String(), "from": by.From, "end": by.End,
			"age_ms": (now - by.At).Milliseconds(),
		})
	case u.lines == maxUsableLines:
		log.Info("further workers usable or not are left out for a second", nil)
	}
}
