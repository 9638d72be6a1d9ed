package keeper

import (
	"time"

	"github.com/chicorystall/chicorystall/pkg/roster"
)

// allFaults returns all kinds of faults. Frequent kinds are listed more than once.
func (sim *simulation) allFaults() []fault {
	return []fault{
		sim.listOutage, sim.listOutage, sim.cutInstanceFromList, sim.suspendInstance, sim.suspendInstance, sim.changeKeepers, sim.changeKeepers, sim.changeKeepers,
		sim.killWorker, sim.restartWorker, sim.drainWorker,
		sim.workerFault(func(s *simWorker, on bool) { s.unreachable = on }),
		sim.workerFault(func(s *simWorker, on bool) { s.entryNotWritten = on }),
		sim.workerFault(func(s *simWorker, on bool) { s.cutFromHead = on }),
		sim.workerFault(func(s *simWorker, on bool) { s.unresponsive = on }),
		sim.cutInstanceFromWorker, sim.takeOutDataCentre,
	}
}

// scheduleFaults schedules random faults, which all end by simFaultsEnd.
func (sim *simulation) scheduleFaults() {
	random := sim.random
	for at := simServingStart; at < simFaultsEnd; at += random.duration(100*time.Millisecond, 3*time.Second) {
		drawFault := sim.faults[random.IntN(len(sim.faults))]
		length := min(random.duration(200*time.Millisecond, 7*time.Second), simFaultsEnd-at-random.duration(0, time.Millisecond))
		time.AfterFunc(at, func() {
			sim.fleet.mu.Lock()
			defer sim.fleet.mu.Unlock()
			begin, end := drawFault()
			begin()
			time.AfterFunc(length, func() {
				sim.fleet.mu.Lock()
				defer sim.fleet.mu.Unlock()
				end()
			})
		})
	}
	time.AfterFunc(simFaultsEnd, sim.endFaults)
}

// endFaults ends all remaining faults and makes the first instance the only keeper.
func (sim *simulation) endFaults() {
	sim.fleet.mu.Lock()
	defer sim.fleet.mu.Unlock()
	if sim.fleet.listDown {
		sim.fleet.setListDown(false)
	}
	for n, i := range sim.instances {
		i.update(func() {
			i.acting, i.takenOut, i.cutFromList, i.suspendedUntil, i.faultFree = n == 0, false, false, time.Time{}, true
		})
	}
	for _, s := range sim.fleet.workers {
		s.unreachable, s.entryNotWritten, s.cutFromHead, s.unresponsive, s.cutFromInstances = false, false, false, false, nil
	}
	sim.fleet.logEvent("all faults ended")
}

func (i *simInstance) update(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f()
}

func (sim *simulation) pickInstance() *simInstance {
	return sim.instances[sim.random.IntN(len(sim.instances))]
}

// pickWorker returns a random running worker, preferably a member of a group.
func (sim *simulation) pickWorker() *simWorker {
	var running, members []*simWorker
	for _, id := range sim.fleet.ids() {
		s := sim.fleet.workers[id]
		if s.ended {
			continue
		}
		running = append(running, s)
		if len(s.members) > 1 && s.Membership.State != roster.Alone {
			members = append(members, s)
		}
	}
	if len(members) > 0 && !sim.random.oneIn(4) {
		return members[sim.random.IntN(len(members))]
	}
	return running[sim.random.IntN(len(running))]
}

// listOutage makes the list unavailable to all instances. After the outage, the
// instances read it again at different times.
func (sim *simulation) listOutage() (begin, end func()) {
	return func() { sim.fleet.logEvent("list unavailable"); sim.fleet.setListDown(true) }, func() {
		if !sim.fleet.listDown {
			return
		}
		sim.fleet.logEvent("list available")
		sim.fleet.setListDown(false)
		for _, i := range sim.instances {
			i.update(func() { i.nextListRead = time.Now().Add(sim.random.duration(0, 4*time.Second)) })
		}
	}
}

func (sim *simulation) cutInstanceFromList() (begin, end func()) {
	i := sim.pickInstance()
	return func() { i.update(func() { i.cutFromList = true }) }, func() { i.update(func() { i.cutFromList = false }) }
}

func (sim *simulation) suspendInstance() (begin, end func()) {
	i := sim.pickInstance()
	until := time.Now().Add(sim.random.duration(100*time.Millisecond, 5*time.Second))
	if limit := sim.fleet.start.Add(simFaultsEnd - sim.random.duration(0, time.Millisecond)); until.After(limit) {
		until = limit
	}
	return func() {
		sim.fleet.logEvent("instance %d is suspended", i.number)
		i.update(func() { i.suspendedUntil = until })
	}, func() {}
}

// changeKeepers makes one, all or none of the instances act as the keeper.
func (sim *simulation) changeKeepers() (begin, end func()) {
	random := sim.random
	only, all := random.IntN(len(sim.instances)), random.oneIn(3)
	if random.oneIn(6) {
		only = -1
	}
	set := func(act func(n int) bool) {
		for n, i := range sim.instances {
			i.update(func() { i.acting = act(n) })
		}
	}
	next := random.IntN(len(sim.instances))
	return func() {
			sim.fleet.logEvent("keeper %d, all %t", only, all)
			set(func(n int) bool { return all || n == only })
		}, func() {
			if sim.faultsActive() {
				sim.fleet.logEvent("keeper %d", next)
				set(func(n int) bool { return n == next })
			}
		}
}

// setKeeper makes one instance the only keeper.
func (sim *simulation) setKeeper(number int) {
	for n, i := range sim.instances {
		i.update(func() { i.acting = n == number })
	}
}

// handOverKeeper makes a random instance the only keeper.
func (sim *simulation) handOverKeeper() (begin, end func()) {
	next := sim.pickInstance().number
	return func() {
		sim.fleet.logEvent("keeper %d", next)
		sim.setKeeper(next)
	}, func() {}
}

func (sim *simulation) killWorker() (begin, end func()) {
	s := sim.pickWorker()
	return func() { sim.fleet.kill(s) }, func() { sim.replaceWorker(s) }
}

// replaceWorker restarts a worker that has ended, or adds a new one in its place.
func (sim *simulation) replaceWorker(s *simWorker) {
	switch {
	case !s.ended:
	case sim.random.oneIn(3):
		sim.fleet.logEvent("%s restarts", s.ID)
		s.start(time.Now())
	default:
		delete(sim.fleet.workers, s.ID)
		sim.fleet.addWorker(s.Domain)
	}
}

func (sim *simulation) restartWorker() (begin, end func()) {
	s := sim.pickWorker()
	return func() { sim.fleet.kill(s); sim.fleet.logEvent("%s restarts", s.ID); s.start(time.Now()) }, func() {}
}

func (sim *simulation) drainWorker() (begin, end func()) {
	s := sim.pickWorker()
	now := time.Now()
	return func() {
		sim.fleet.logEvent("%s drains", s.ID)
		s.exitAt = now.Add(sim.random.duration(2*time.Second, 8*time.Second))
		if sim.random.oneIn(4) {
			s.entryNotWritten = true // ends without being listed as draining
			return
		}
		s.Draining = true
		s.recordState(now)
	}, func() { sim.fleet.kill(s); sim.replaceWorker(s) }
}

func (sim *simulation) workerFault(set func(s *simWorker, on bool)) fault {
	return func() (begin, end func()) {
		s := sim.pickWorker()
		return func() { set(s, true) }, func() { set(s, false) }
	}
}

func (sim *simulation) cutInstanceFromWorker() (begin, end func()) {
	s, i := sim.pickWorker(), sim.pickInstance()
	return func() { s.cutFromInstances = map[int]bool{i.number: true} }, func() { s.cutFromInstances = nil }
}

// takeOutDataCentre takes the data centre out of service and back into service.
func (sim *simulation) takeOutDataCentre() (begin, end func()) {
	set := func(takenOut bool) {
		for _, i := range sim.instances {
			i.update(func() { i.takenOut = takenOut })
		}
	}
	return func() { sim.fleet.logEvent("data centre taken out of service"); set(true) }, func() { set(false) }
}
