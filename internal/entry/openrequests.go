package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/member"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

// openRequests counts requests in flight by group.
type openRequests struct {
	mu     sync.Mutex
	groups map[string]int
}

func (o *openRequests) add(group string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.groups == nil {
		o.groups = make(map[string]int)
	}
	o.groups[group] += n
}

func (o *openRequests) of(group string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.groups[group]
}

// openItem is the key under which an instance publishes its open requests.
const openItem = "open"

// countOpen adds the requests that all entry instances of this data centre have
// open, by group.
func (s *Server) countOpen(byGroup map[string]int) {
	for _, g := range s.placement.State().Groups() {
		byGroup[g.Name] += s.open.of(g.Name)
	}
	for _, row := range s.members.Alive() {
		item, published := row.Item(openItem)
		if !published || row.Name == s.settings.Name {
			continue
		}
		var report peerpb.InstanceReport
		if proto.Unmarshal(item.Value, &report) != nil {
			continue
		}
		for name, count := range report.GetInFlight() {
			byGroup[name] += int(count)
		}
	}
}

// notSeen adds one request to each draining group for each living entry instance
// that has not yet said that it knows of the drain.
func (s *Server) notSeen(byGroup map[string]int) {
	for _, g := range s.placement.State().Groups() {
		if g.Phase != placement.PhaseDraining {
			continue
		}
		for _, row := range s.members.Alive() {
			if row.Name != s.settings.Name && !knowsDrain(row, g.Name) {
				byGroup[g.Name]++
			}
		}
	}
}

func knowsDrain(row member.Row, group string) bool {
	var report peerpb.InstanceReport
	item, published := row.Item(openItem)
	if !published || proto.Unmarshal(item.Value, &report) != nil {
		return false
	}
	_, known := report.GetInFlight()[group]
	return known
}

// publishOpen tells the others how many requests this instance has open at groups
// that are draining. Others need not know: their counts change all the time.
func (s *Server) publishOpen(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Heartbeat.Peers)
	defer ticker.Stop()
	for {
		report := &peerpb.InstanceReport{InFlight: make(map[string]int32)}
		for _, g := range s.placement.State().Groups() {
			if g.Phase == placement.PhaseDraining {
				report.InFlight[g.Name] = int32(s.open.of(g.Name))
			}
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(report)
		if err != nil {
			return err
		}
		s.members.SetItem(openItem, value)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
