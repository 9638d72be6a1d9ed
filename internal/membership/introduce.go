package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/member"
)

// seedHelloRounds is the number of rounds between two Hello calls to a seed.
const seedHelloRounds = 10

// sendHellos sends a Hello to one instance of each other data centre. It also sends
// one to a seed, every seedHelloRounds rounds or while no other instance is known.
func (s *Service) sendHellos(ctx context.Context, round int) {
	for _, address := range s.helloAddresses(round) {
		go func() { _, _ = s.Hello(ctx, address) }()
	}
}

// Hello introduces this instance to the one at address and adds the instances that
// it returns. The result is the called instance, or nil if it returned none.
func (s *Service) Hello(ctx context.Context, address string) (*peerpb.Instance, error) {
	instances, err := s.options.Client.Hello(ctx, address, s.selfInstance())
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

// HelloAll introduces this instance to all known instances. It returns those that
// answered, and the sorted names of those that did not.
func (s *Service) HelloAll(ctx context.Context) (answered []*peerpb.Instance, silent []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for name, address := range s.knownAddresses() {
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

// knownAddresses returns the addresses of all other known instances by name, without
// those of its own data centre that have left.
func (s *Service) knownAddresses() map[string]string {
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

// helloAddresses returns the addresses for the Hello calls of a round.
func (s *Service) helloAddresses(round int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, candidates := range s.contactAddressesByDataCentre() {
		addresses = append(addresses, candidates[rand.IntN(len(candidates))])
	}
	alone := len(s.table.Alive()) == 1 && len(s.contacts) == 0
	if len(s.options.Seeds) > 0 && (alone || round%seedHelloRounds == 0) {
		addresses = append(addresses, s.options.Seeds[rand.IntN(len(s.options.Seeds))])
	}
	return addresses
}

// contactAddressesByDataCentre returns the contacts' addresses by data centre. The
// caller holds the lock.
func (s *Service) contactAddressesByDataCentre() map[string][]string {
	addresses := make(map[string][]string)
	for _, contact := range s.contacts {
		dataCentre := contact.Instance.GetDataCentre()
		addresses[dataCentre] = append(addresses[dataCentre], contact.Instance.GetAddress())
	}
	return addresses
}
