package entry

import (
	"expvar"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// counters are this instance's metrics. They are an expvar map of their own, so
// that several instances can run in one process.
type counters struct {
	values expvar.Map
}

func newCounters() *counters {
	c := &counters{}
	c.values.Init()
	return c
}

func (c *counters) add(name string, n int64) { c.values.Add(name, n) }

// gauge shows the value of a function.
func (c *counters) gauge(name string, value func() any) {
	c.values.Set(name, expvar.Func(value))
}

// publishGauges shows what the instance holds.
func (s *Server) publishGauges() {
	s.counters.gauge("RequestsInHand", func() any { return s.InHand() })
	s.counters.gauge("RequestsWaiting", func() any { return s.waiting.Len() })
	s.counters.gauge("StreamBytesHeld", func() any { return s.memory.Used() })
	s.counters.gauge("StreamBytesPeak", func() any { return s.memory.Peak() })
	s.counters.gauge("ConfigOffset", func() any { return s.config.Status().Offset })
	s.counters.gauge("ConfigBehind", func() any { return s.config.Status().Behind })
	s.counters.gauge("PlacementOffset", func() any { return s.placement.Status().Offset })
	s.counters.gauge("Claims", func() any { return s.claimant.Stats() })
}

// listed is set once the process has shown its counters at /debug/vars.
var listed atomic.Bool

// list shows the counters among the process's own, for the first instance only.
func (c *counters) list() {
	if listed.CompareAndSwap(false, true) {
		expvar.Publish("Chicorystall", &c.values)
	}
}

// finished logs the end of a request at a backend server.
func (s *Server) finished(req *request, where placed, refused *refusal) {
	if refused == nil {
		return
	}
	s.log.WithFields(logrus.Fields{
		"request":  req.ID,
		"account":  req.Account,
		"group":    where.Decision.Group,
		"instance": where.Decision.Backend,
		"outcome":  refused.Outcome.String(),
		"reason":   refused.Reason,
	}).WithError(refused).Info("request ended without a whole answer")
}
