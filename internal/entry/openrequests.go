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

// openRequests counts the requests of this instance in progress at each group.
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

func (o *openRequests) count(group string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.groups[group]
}

// openRequestsKey is the key of the membership item in which an instance publishes
// its open requests.
const openRequestsKey = "open"

// countOpenRequests returns the open requests of all entry instances of this data
// centre by group. For a draining group, it counts one request for each live
// instance that has not yet published a number for it, because that instance may not
// know of the drain.
func (s *Server) countOpenRequests() map[string]int {
	groups := s.placement.State().Groups()
	byGroup := make(map[string]int, len(groups))
	for _, g := range groups {
		byGroup[g.Name] = s.open.count(g.Name)
	}
	for _, row := range s.members.Alive() {
		if row.Name == s.settings.Name {
			continue
		}
		published := publishedOpenRequests(row)
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

// publishedOpenRequests returns the open requests that another entry instance has
// published, by group.
func publishedOpenRequests(row member.Row) map[string]int32 {
	var open peerpb.OpenRequests
	item, published := row.Item(openRequestsKey)
	if !published || proto.Unmarshal(item.Value, &open) != nil {
		return nil
	}
	return open.GetDrainingGroups()
}

// publishOpenRequests publishes the number of this instance's open requests at each
// draining group. The numbers of other groups are left out, since nobody needs them
// and they change all the time.
func (s *Server) publishOpenRequests(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Heartbeat.Peers)
	defer ticker.Stop()
	for {
		open := &peerpb.OpenRequests{DrainingGroups: make(map[string]int32)}
		for _, g := range s.placement.State().Groups() {
			if g.Phase == placement.PhaseDraining {
				open.DrainingGroups[g.Name] = int32(s.open.count(g.Name))
			}
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(open)
		if err != nil {
			return err
		}
		s.members.SetItem(openRequestsKey, value)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
