package backend

import (
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine"
)

// Pool keeps one client for each address of a backend server. The zero value is ready to
// use.
type Pool struct {
	IdleTimeout    time.Duration // longest time without a byte of an answer
	MaxAnswerBytes int

	mu       sync.Mutex
	engines  map[string]*engine.Client
	services map[string]*engine.Service
}

// Engine returns the client of the model engine at the address.
func (p *Pool) Engine(address string) *engine.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.engines[address]
	if client == nil {
		client = engine.New(engine.Options{
			Address:        address,
			IdleTimeout:    p.IdleTimeout,
			MaxAnswerBytes: p.MaxAnswerBytes,
		})
		if p.engines == nil {
			p.engines = make(map[string]*engine.Client)
		}
		p.engines[address] = client
	}
	return client
}

// Service returns the client of the plain service at the address.
func (p *Pool) Service(address string) *engine.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.services[address]
	if client == nil {
		client = engine.NewService(engine.ServiceOptions{
			Address:        address,
			IdleTimeout:    p.IdleTimeout,
			MaxAnswerBytes: p.MaxAnswerBytes,
		})
		if p.services == nil {
			p.services = make(map[string]*engine.Service)
		}
		p.services[address] = client
	}
	return client
}

// Keep closes and removes the clients of all other addresses.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.engines {
		if !addresses[address] {
			client.Close()
			delete(p.engines, address)
		}
	}
	for address, client := range p.services {
		if !addresses[address] {
			client.Close()
			delete(p.services, address)
		}
	}
}

// Close closes and removes all clients.
func (p *Pool) Close() { p.Keep(nil) }
