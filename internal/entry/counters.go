package entry

import (
	"expvar"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// counters holds the metrics of this instance. It uses its own expvar map, so that
// several instances can run in one process.
type counters struct {
	values expvar.Map
}

func newCounters() *counters {
	c := &counters{}
	c.values.Init()
	return c
}

func (c *counters) add(name string, n int64) { c.values.Add(name, n) }

// gauge publishes the value that a function returns.
func (c *counters) gauge(name string, value func() any) {
	c.values.Set(name, expvar.Func(value))
}

// publishGauges publishes the current state of the instance as gauges.
func (s *Server) publishGauges() {
	s.counters.gauge("RequestsInHand", func() any { return s.ActiveRequests() })
	s.counters.gauge("RequestsWaiting", func() any { return s.queues.Len() })
	s.counters.gauge("StreamBytesHeld", func() any { return s.memory.Used() })
	s.counters.gauge("StreamBytesPeak", func() any { return s.memory.Peak() })
	s.counters.gauge("ConfigOffset", func() any { return s.config.Status().Offset })
	s.counters.gauge("ConfigBehind", func() any { return s.config.Status().Behind })
	s.counters.gauge("PlacementOffset", func() any { return s.placement.Status().Offset })
	s.counters.gauge("Claims", func() any { return s.claimant.Stats() })
}

// published is set when an instance of this process has published its counters at
// /debug/vars.
var published atomic.Bool

// publishOnce publishes the counters among the variables of the process. Only the
// first instance of a process does so, because the name can be published once.
func (c *counters) publishOnce() {
	if published.CompareAndSwap(false, true) {
		expvar.Publish("Chicorystall", &c.values)
	}
}

// logFailedRequest logs a request that a backend server did not answer completely.
func (s *Server) logFailedRequest(req *request, place modelPlace, refused *refusal) {
	if refused == nil {
		return
	}
	s.log.WithFields(logrus.Fields{
		"request":  req.ID,
		"account":  req.Account,
		"group":    place.Decision.Group,
		"instance": place.Decision.Backend,
		"outcome":  refused.Outcome.String(),
		"reason":   refused.Reason,
	}).WithError(refused).Info("request ended without a whole answer")
}
