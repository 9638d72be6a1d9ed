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

// countOpen returns the requests that all entry instances of this data centre have
// open, by group. At a draining group it counts one for each living instance that
// has not yet said that it knows of the drain.
func (s *Server) countOpen() map[string]int {
	groups := s.placement.State().Groups()
	byGroup := make(map[string]int, len(groups))
	for _, g := range groups {
		byGroup[g.Name] = s.open.of(g.Name)
	}
	for _, row := range s.members.Alive() {
		if row.Name == s.settings.Name {
			continue
		}
		published := openOf(row)
		for _, g := range groups {
			count, known := published[g.Name]
			byGroup[g.Name] += int(count)
			if !known && g.Phase == placement.PhaseDraining {
				byGroup[g.Name]++
			}
		}
	}
	return byGroup
}

// openOf returns what another entry instance published of its open requests.
func openOf(row member.Row) map[string]int32 {
	var open peerpb.OpenRequests
	item, published := row.Item(openItem)
	if !published || proto.Unmarshal(item.Value, &open) != nil {
		return nil
	}
	return open.GetDrainingGroups()
}

// publishOpen tells the others how many requests this instance has open at groups
// that are draining. Others need not know: their counts change all the time.
func (s *Server) publishOpen(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Heartbeat.Peers)
	defer ticker.Stop()
	for {
		open := &peerpb.OpenRequests{DrainingGroups: make(map[string]int32)}
		for _, g := range s.placement.State().Groups() {
			if g.Phase == placement.PhaseDraining {
				open.DrainingGroups[g.Name] = int32(s.open.of(g.Name))
			}
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(open)
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
