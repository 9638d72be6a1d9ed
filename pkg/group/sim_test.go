package group

import (
	"context"
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// bench drives one controller over a log and engines in virtual time.
type bench struct {
	now     time.Time
	log     []journal.Entry
	state   placement.State
	self    placement.Process
	control Controller
	input   Input
	issuer  *Issuer
	ids     int
	refused []placement.Verdict
	silent  map[string]bool
}

func newBench(servers []fleet.BackendServer, groups []fleet.Group) *bench {
	b := &bench{
		now:    time.Unix(0, 0),
		self:   placement.Process{Name: "e1", BootID: "e1-1"},
		silent: make(map[string]bool),
	}
	b.control.NewID = b.newID
	b.issuer = &Issuer{Self: b.self, NewID: b.newID, Send: b.obey}
	b.input = Input{Self: b.self, Servers: servers, Desired: groups, Reports: Reports{}, GoneServers: map[string]bool{}, Sent: b.issuer.Sent}
	for _, s := range servers {
		b.input.Reports[s.Name] = Report{Server: s.Name, BootID: s.Name + "-1", At: b.now}
	}
	b.append(placement.Record{ID: b.newID(), Body: placement.EntryJoin{Process: b.self}})
	return b
}

func (b *bench) newID() string {
	b.ids++
	return fmt.Sprint("r", b.ids)
}

func (b *bench) append(r placement.Record) placement.Verdict {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	entry := journal.Entry{Offset: journal.Offset(len(b.log) + 1), Data: data}
	b.log = append(b.log, entry)
	var v placement.Verdict
	b.state, v = b.state.Apply(entry)
	if !v.Accepted {
		b.refused = append(b.refused, v)
	}
	return v
}

// round is one interval: servers report, the controller decides, orders are sent.
func (b *bench) round() Decision {
	b.now = b.now.Add(time.Second)
	for name, r := range b.input.Reports {
		if b.silent[name] {
			continue
		}
		r.At = b.now
		r.Observed = b.state.Offset()
		b.input.Reports[name] = r
	}
	b.input.Now = b.now
	b.input.State = b.state
	d := b.control.Decide(b.input)
	for _, r := range d.Records {
		b.append(r)
	}
	for _, o := range d.Orders {
		_ = b.issuer.Issue(context.Background(), b.state, o)
	}
	for _, r := range b.issuer.PendingReleases(b.state) {
		b.append(r)
	}
	return d
}

// obey makes the server follow the order at once.
func (b *bench) obey(_ context.Context, o Order) error {
	r := b.input.Reports[o.Server]
	r.Group, r.Epoch, r.Model, r.ModelVersion = o.Group, o.Epoch, o.Model, o.ModelVersion
	b.input.Reports[o.Server] = r
	return nil
}

func (b *bench) rounds(n int) {
	for range n {
		b.round()
	}
}

func (b *bench) whole(group string) error {
	_, err := b.control.Check.Whole(b.state, group, b.input.Reports, b.now)
	return err
}

// twoDomains returns servers s1 to s4 in domain d1 and s5 to s8 in d2.
func twoDomains(checksFence bool) []fleet.BackendServer {
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

func desired(name string, members ...string) fleet.Group {
	return fleet.Group{Name: name, Model: "m", ModelVersion: "1", Members: members}
}
