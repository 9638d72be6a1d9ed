package measure

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/group"
)

const (
	repairTrials  = 3
	faultStart    = 120 * time.Second
	faultDuration = 300 * time.Second
	repairEnd     = 600 * time.Second
)

// groupFault selects servers that crash at the same time.
type groupFault struct {
	name        string
	lostServers func(r *groupRun) []string
}

var groupFaults = []groupFault{
	{"member", func(r *groupRun) []string { return r.members(1, 1) }},
	{"member of each of 2 groups", func(r *groupRun) []string { return r.members(2, 1) }},
	{"fabric domain", (*groupRun).domain},
}

// members returns the first perGroup members of each of the first groups of a
// random domain.
func (r *groupRun) members(groups, perGroup int) []string {
	groupsPerDomain := len(r.input.Desired) / groupDomains
	first := r.rand.IntN(groupDomains) * groupsPerDomain
	var names []string
	for i := range groups {
		names = append(names, r.input.Desired[first+i].Members[:perGroup]...)
	}
	return names
}

func (r *groupRun) domain() []string {
	domain := fmt.Sprint("domain-", r.rand.IntN(groupDomains))
	var names []string
	for _, s := range r.input.Servers {
		if s.FabricDomain == domain {
			names = append(names, s.Name)
		}
	}
	return names
}

// GroupRepair measures the downtime of groups and the idle accelerators after
// server losses, for each number of spares in a fabric domain and each policy. The
// baseline is the policy Wait without spares, with which a group waits until its
// member returns.
func GroupRepair(seed uint64) Table {
	t := Table{
		Name:    "group repair",
		Seed:    seed,
		Columns: []string{"loss", "spares", "policy", "group downtime s", "stranded accelerator s", "spare accelerator s", "records"},
		Note: fmt.Sprintf("Mean of %d trials of %s. %d domains of 3 groups of 2 servers with %d accelerators; the loss lasts %s, a lost server is replaced after 5 s of silence. "+
			"Downtime is summed over groups, accelerators over live servers.", repairTrials, repairEnd-faultStart, groupDomains, acceleratorsPerServer, faultDuration),
	}
	for _, fault := range groupFaults {
		for spares := range 3 {
			for _, policy := range []group.Policy{group.Wait, group.OtherDomain, group.Dissolve} {
				t.Rows = append(t.Rows, repairRow(seed, fault, spares, policy))
			}
		}
	}
	return t
}

func repairRow(seed uint64, fault groupFault, spares int, policy group.Policy) []string {
	var downtime time.Duration
	var stranded, spare float64
	records := 0
	for trial := range uint64(repairTrials) {
		r := newGroupRun(seed+trial, groupFleet{3, 2, spares}, policy, storeLoads)
		r.runUntil(faultStart)
		r.countUsage = true
		before := len(r.log)
		lost := fault.lostServers(r)
		for _, name := range lost {
			r.kill(name)
		}
		r.runUntil(faultStart + faultDuration)
		for _, name := range lost {
			r.restart(name)
		}
		r.runUntil(repairEnd)
		downtime += r.downtime
		stranded += r.stranded
		spare += r.spare
		records += len(r.log) - before
	}
	label := policy.String()
	if spares == 0 && policy == group.Wait {
		label += " (baseline)"
	}
	return []string{fault.name, fmt.Sprint(spares), label,
		fmt.Sprintf("%.0f", downtime.Seconds()/repairTrials), fmt.Sprintf("%.0f", stranded/repairTrials),
		fmt.Sprintf("%.0f", spare/repairTrials), fmt.Sprint(records / repairTrials)}
}

// GroupLoads measures the time until groups are complete when all servers start
// empty, with loads ordered group by group and with all loads at once.
func GroupLoads(seed uint64) Table {
	t := Table{
		Name:    "group loads",
		Seed:    seed,
		Columns: []string{"order", "first whole s", "mean whole s", "last whole s", "stranded accelerator s"},
		Note: fmt.Sprintf("%d domains of 2 groups of 4 servers, %d GiB each; the store gives %d GiB/s, a server takes %d GiB/s.",
			groupDomains, weightBytes>>30, storeBytesPerSecond>>30, loadBytesPerSecond>>30),
	}
	const allAtOnce = 1 << 20
	t.Rows = append(t.Rows, loadRow(seed, "whole groups first", storeLoads), loadRow(seed, "all at once (baseline)", allAtOnce))
	return t
}

func loadRow(seed uint64, label string, maxLoads int) []string {
	r := newGroupRun(seed, groupFleet{2, 4, 0}, group.Wait, maxLoads)
	r.countUsage = true
	r.runUntil(repairEnd)
	first, last, sum := repairEnd, time.Duration(0), time.Duration(0)
	for _, g := range r.input.Desired {
		at, ok := r.wholeAt[g.Name]
		if !ok {
			at = repairEnd
		}
		first, last, sum = min(first, at), max(last, at), sum+at
	}
	mean := sum / time.Duration(len(r.input.Desired))
	return []string{label, fmt.Sprint(first.Seconds()), fmt.Sprintf("%.0f", mean.Seconds()), fmt.Sprint(last.Seconds()), fmt.Sprintf("%.0f", r.stranded)}
}
