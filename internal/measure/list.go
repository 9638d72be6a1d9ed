package measure

// Measure is one measurement that can be run by its name.
type Measure struct {
	Name string
	Help string // one line
	Run  func(seed uint64) Table
}

// List returns all measurements.
func List() []Measure {
	return []Measure{
		{"control-cost-entries", "what control costs one entry instance, by entry instances in the data centre", ControlCostEntries},
		{"control-cost-servers", "the same by model workers in the data centre", ControlCostServers},
		{"control-cost-groups", "the same by groups in the data centre", ControlCostGroups},
		{"control-cost-data-centres", "the same by data centres", ControlCostDataCentres},
		{"control-cost-target", "the same in a data centre of 72 entry instances and 168 model workers", ControlCostTarget},
		{"in-force", "time from a change to its being in force everywhere, against asking every second", InForce},
		{"data-centre-path", "service while a data centre leaves and returns, against a balancer alone", DataCentrePath},
		{"limits-cold-start", "requests that cold backend servers get, against plain full limits", LimitsColdStart},
		{"membership", "bytes and detection time of liveness, against a full mesh of heartbeats", Membership},
		{"retries", "goodput and retries under overload and a stall, against plain retries", Retries},
		{"path", "what an entry instance adds to a direct call of a model worker", Path},
		{"slow-readers-path", "bytes held for 1,000 stalled readers, against a proxy without bounds", SlowReadersPath},
		{"rolling", "service while all entry instances are replaced, against ending them at once", Rolling},
		{"routing", "first token and cache hits, against round robin and least loaded", Routing},
		{"routing-fairness", "the smallest account's first token during a flood, against one queue", RoutingFairness},
		{"routing-data-centre", "service while a data centre is away, against static shares; simulated", RoutingDataCentre},
	}
}

// Find returns the measurement with the name.
func Find(name string) (Measure, bool) {
	for _, m := range List() {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}
