package instance

import (
	"time"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/listing"
)

// maxUsabilityLines limits the lines per second, since all workers may change at once.
const maxUsabilityLines = 200

// usabilityLog logs when this instance starts or stops sending requests to a
// worker, and which statement decided that. The zero value is ready to use.
type usabilityLog struct {
	dataCentres map[string]string // data centre by ID of each worker that takes requests
	second      time.Duration     // start of the second in which lines are counted
	lines       int
}

// update logs the differences between the places in usable and the last ones.
func (u *usabilityLog) update(log *telemetry.Log, l gateway.Layout, usable []gateway.UsablePlace) {
	dataCentres := make(map[string]string, len(usable))
	for _, c := range usable {
		dataCentres[c.ID] = c.DataCentre
		if _, wasUsable := u.dataCentres[c.ID]; !wasUsable {
			u.logLine(log, "worker usable", c.ID, c.DataCentre, l.Now, c.DecidedBy)
		}
	}
	for id, dataCentre := range u.dataCentres {
		if _, isUsable := dataCentres[id]; !isUsable {
			u.logLine(log, "worker not usable", id, dataCentre, l.Now, l.DecidedBy(dataCentre))
		}
	}
	u.dataCentres = dataCentres
}

func (u *usabilityLog) logLine(log *telemetry.Log, event, worker, dataCentre string, now time.Duration, by listing.Statement) {
	if second := now.Truncate(time.Second); second != u.second {
		u.second, u.lines = second, 0
	}
	u.lines++
	switch {
	case u.lines < maxUsabilityLines:
		log.Info(event, telemetry.Fields{
			"worker": worker, "data_centre": dataCentre, "source": by.Source.String(), "from": by.From, "era": by.End.Era(), "end": by.End.Offset(),
			"age_ms": (now - by.At).Milliseconds(),
		})
	case u.lines == maxUsabilityLines:
		log.Info("further workers usable or not are left out for a second", nil)
	}
}
