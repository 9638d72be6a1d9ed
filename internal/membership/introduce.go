package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/member"
)

// introduceEvery is the number of rounds between two introductions to a seed.
const introduceEvery = 10

// introduce calls one instance of each other data centre, and a seed as long as
// this instance is alone or now and then.
func (s *Service) introduce(ctx context.Context, round int) {
	for _, address := range s.introductions(round) {
		go func() { _, _ = s.Hello(ctx, address) }()
	}
}

// Hello introduces this instance to the one at address, takes note of all that
// it knows, and returns it.
func (s *Service) Hello(ctx context.Context, address string) (*peerpb.Instance, error) {
	instances, err := s.options.Client.Hello(ctx, address, s.self())
	if err != nil {
		return nil, err
	}
	for _, instance := range instances {
		s.Add(instance)
	}
	if len(instances) == 0 {
		return nil, nil
	}
	return instances[0], nil
}

// HelloAll introduces this instance to all instances that it knows, and returns
// those that answered and the names of those that did not.
func (s *Service) HelloAll(ctx context.Context) (answered []*peerpb.Instance, silent []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for name, address := range s.known() {
		calls.Go(func() {
			instance, err := s.Hello(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || instance == nil {
				silent = append(silent, name)
				return
			}
			answered = append(answered, instance)
		})
	}
	calls.Wait()
	slices.Sort(silent)
	return answered, silent
}

// known returns the addresses of all other instances by name.
func (s *Service) known() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make(map[string]string)
	for _, row := range s.table.Rows() {
		if row.Name != s.options.Self.GetName() && row.Status != member.Left {
			addresses[row.Name] = row.Address
		}
	}
	for name, contact := range s.contacts {
		addresses[name] = contact.Instance.GetAddress()
	}
	return addresses
}

func (s *Service) introductions(round int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, group := range s.contactsByDataCentre() {
		addresses = append(addresses, group[rand.IntN(len(group))])
	}
	alone := len(s.table.Alive()) == 1 && len(s.contacts) == 0
	if len(s.options.Seeds) > 0 && (alone || round%introduceEvery == 0) {
		addresses = append(addresses, s.options.Seeds[rand.IntN(len(s.options.Seeds))])
	}
	return addresses
}

func (s *Service) contactsByDataCentre() map[string][]string {
	groups := make(map[string][]string)
	for _, contact := range s.contacts {
		dataCentre := contact.Instance.GetDataCentre()
		groups[dataCentre] = append(groups[dataCentre], contact.Instance.GetAddress())
	}
	return groups
}
