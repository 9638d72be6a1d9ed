package group

import (
	"context"
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// fixture runs one controller with a log and simulated backend servers in virtual
// time.
type fixture struct {
	now        time.Time
	log        []journal.Entry
	state      placement.State
	self       placement.Process
	controller Controller
	input      Input
	issuer     *Issuer
	ids        int
	refused    []placement.Verdict // verdicts on refused records
	silent     map[string]bool     // backend servers that send no reports
}

func newFixture(servers []fleet.BackendServer, groups []fleet.Group) *fixture {
	f := &fixture{
		now:    time.Unix(0, 0),
		self:   placement.Process{Name: "e1", BootID: "e1-1"},
		silent: make(map[string]bool),
	}
	f.controller.NewID = f.newID
	f.issuer = &Issuer{Self: f.self, NewID: f.newID, Send: f.applyOrder}
	f.input = Input{Self: f.self, Servers: servers, Desired: groups, Reports: Reports{}, GoneServers: map[string]bool{}, Sent: f.issuer.Sent}
	for _, s := range servers {
		f.input.Reports[s.Name] = Report{Server: s.Name, BootID: s.Name + "-1", At: f.now}
	}
	f.append(placement.Record{ID: f.newID(), Body: placement.EntryJoin{Process: f.self}})
	return f
}

func (f *fixture) newID() string {
	f.ids++
	return fmt.Sprint("r", f.ids)
}

func (f *fixture) append(r placement.Record) placement.Verdict {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	entry := journal.Entry{Offset: journal.Offset(len(f.log) + 1), Data: data}
	f.log = append(f.log, entry)
	var v placement.Verdict
	f.state, v = f.state.Apply(entry)
	if !v.Accepted {
		f.refused = append(f.refused, v)
	}
	return v
}

// runRound simulates one second: the servers report, the controller decides, and its
// records are appended and its orders sent.
func (f *fixture) runRound() Decision {
	f.now = f.now.Add(time.Second)
	for name, r := range f.input.Reports {
		if f.silent[name] {
			continue
		}
		r.At = f.now
		r.Observed = f.state.Offset()
		f.input.Reports[name] = r
	}
	f.input.Now = f.now
	f.input.State = f.state
	d := f.controller.Decide(f.input)
	for _, r := range d.Records {
		f.append(r)
	}
	for _, o := range d.Orders {
		_ = f.issuer.Issue(context.Background(), f.state, o)
	}
	for _, r := range f.issuer.PendingReleases(f.state) {
		f.append(r)
	}
	return d
}

// applyOrder makes the server apply the order and load the model at once.
func (f *fixture) applyOrder(_ context.Context, o Order) error {
	r := f.input.Reports[o.Server]
	r.Group, r.Epoch, r.Model, r.ModelVersion = o.Group, o.Epoch, o.Model, o.ModelVersion
	f.input.Reports[o.Server] = r
	return nil
}

func (f *fixture) runRounds(n int) {
	for range n {
		f.runRound()
	}
}

func (f *fixture) checkWhole(group string) error {
	_, err := f.controller.Check.Whole(f.state, group, f.input.Reports, f.now)
	return err
}

// serversInTwoDomains returns servers s1 to s4 in domain d1 and s5 to s8 in d2.
func serversInTwoDomains(checksFence bool) []fleet.BackendServer {
	var servers []fleet.BackendServer
	for i := 1; i <= 8; i++ {
		servers = append(servers, fleet.BackendServer{
			Name:         fmt.Sprint("s", i),
			FabricDomain: fmt.Sprint("d", (i+3)/4),
			ChecksFence:  checksFence,
		})
	}
	return servers
}

func desiredGroup(name string, members ...string) fleet.Group {
	return fleet.Group{Name: name, Model: "m", ModelVersion: "1", Members: members}
}
