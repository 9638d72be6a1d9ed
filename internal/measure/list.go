package measure

// Measurement is a measurement that can be run by its name.
type Measurement struct {
	Name string
	Help string // one line
	Run  func(seed uint64) Table
}

// List returns all measurements.
func List() []Measurement {
	return []Measurement{
		{"answers-without-end", "memory and time that an endless answer takes, against a plain reverse proxy", EndlessAnswers},
		{"answers-without-end-beside", "times of a sound service beside ten servers whose answers have no end, against none", EndlessBeside},
		{"claim-batching", "log appends and wait of claims, against one append for each key", ClaimBatching},
		{"claim-outage", "keyed requests while the log is away, against keys minted beforehand; simulated", ClaimOutage},
		{"control-cost-data-centres", "what control costs one entry instance, by data centres", ControlCostDataCentres},
		{"control-cost-entries", "what control costs one entry instance, by entry instances in the data centre", ControlCostEntries},
		{"control-cost-groups", "what control costs one entry instance, by groups in the data centre", ControlCostGroups},
		{"control-cost-servers", "what control costs one entry instance, by model workers in the data centre", ControlCostServers},
		{"control-cost-target", "what control costs one entry instance in a data centre of 72 entry instances and 168 model workers", ControlCostTarget},
		{"data-centre-path", "service while a data centre leaves and returns, against a balancer alone", DataCentrePath},
		{"group-loads", "time until groups are whole, against all loads at once; simulated", GroupLoads},
		{"group-repair", "group downtime and stranded accelerators, against waiting; simulated", GroupRepair},
		{"in-force", "time from a change to its being in force everywhere, against asking every second", InForce},
		{"limit-schemes", "ways to keep a limit that several senders share; simulated", LimitSchemes},
		{"limits-cold-start", "requests that cold backend servers get, against plain full limits; simulated", LimitsColdStart},
		{"membership", "bytes and detection time of liveness, against a full mesh of heartbeats; simulated", Membership},
		{"path", "what an entry instance adds to a direct call of a model worker", Path},
		{"retries", "goodput and retries under overload and a stall, against plain retries; simulated", Retries},
		{"rolling", "service while all entry instances are replaced, against ending them at once", Rolling},
		{"rolling-control", "time without control of groups while entry instances are replaced; simulated", RollingReplacement},
		{"routing", "first token and cache hits, against round robin and least loaded; simulated", Routing},
		{"routing-data-centre", "service while a data centre is away, against static shares; simulated", RoutingDataCentre},
		{"routing-fairness", "the smallest account's first token during a flood, against one queue; simulated", RoutingFairness},
		{"slow-readers", "bytes held for 1,000 stalled readers, against no bound; simulated", SlowReaders},
		{"slow-readers-path", "bytes held by a real entry instance, against a proxy without bounds", SlowReadersPath},
	}
}

// Find returns the measurement with the given name.
func Find(name string) (Measurement, bool) {
	for _, m := range List() {
		if m.Name == name {
			return m, true
		}
	}
	return Measurement{}, false
}
