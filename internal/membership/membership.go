package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/peer"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/member"
)

const (
	// maxAnswerRounds bounds how often two instances answer each other's answers.
	maxAnswerRounds = 3
	// contactMaxAge is the age up to which a report of another data centre counts.
	contactMaxAge = 5 * time.Second
	// goneSilence is the silence after which word that an instance is gone counts.
	goneSilence = 2 * time.Second
)

// Options set up a Service.
type Options struct {
	Self     *peerpb.Instance
	Seeds    []string // addresses to contact first
	Client   *peer.Client
	Interval time.Duration
	// Report returns what this instance tells other data centres.
	Report func() *peerpb.InstanceReport
}

// Contact is an instance of another data centre and its newest report.
type Contact struct {
	Instance   *peerpb.Instance
	ReportedAt time.Time
}

// Service keeps the view of which entry instances are alive.
type Service struct {
	options Options

	mu       sync.Mutex
	table    *member.Table
	contacts map[string]Contact // by name
}

// New returns a service that knows only its own instance.
func New(options Options) *Service {
	self := options.Self
	return &Service{
		options:  options,
		contacts: make(map[string]Contact),
		table: member.New(member.Config{
			Self: member.Row{
				Name: self.GetName(), DataCentre: self.GetDataCentre(),
				Address: self.GetAddress(), Boot: self.GetBoot(),
			},
			Interval: options.Interval,
			Rand:     rand.IntN,
		}),
	}
}

// Run sends heartbeats until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.introduce(ctx, round)
		s.mu.Lock()
		messages := s.table.Tick(time.Now())
		s.mu.Unlock()
		for _, m := range messages {
			go s.exchange(ctx, m)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Alive returns the instances of the own data centre that are not known to be
// dead, this one among them.
func (s *Service) Alive() []member.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Alive()
}

// Contacts returns instances of other data centres that were heard lately.
func (s *Service) Contacts() []Contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var contacts []Contact
	for _, contact := range s.contacts {
		if time.Since(contact.ReportedAt) <= contactMaxAge {
			contacts = append(contacts, contact)
		}
	}
	return contacts
}

// Address returns the address of an instance, when it is known.
func (s *Service) Address(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.table.Rows() {
		if row.Name == name {
			return row.Address, true
		}
	}
	if contact, ok := s.contacts[name]; ok {
		return contact.Instance.GetAddress(), true
	}
	return "", false
}

// Addresses returns the addresses of all other instances that are not known to
// be dead, and of the seeds. With own set, those of other data centres are left
// out.
func (s *Service) Addresses(own bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{s.options.Self.GetAddress(): true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, row := range s.table.Alive() {
		add(row.Address)
	}
	for _, contact := range s.contacts {
		if !own {
			add(contact.Instance.GetAddress())
		}
	}
	for _, seed := range s.options.Seeds {
		add(seed)
	}
	return addresses
}

// SetItem publishes a value of this instance inside the data centre.
func (s *Service) SetItem(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetItem(key, value)
}

// Add takes note of an instance, for instance one that the platform lists.
func (s *Service) Add(instance *peerpb.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(time.Now(), rowOf(instance))
	if instance.GetDataCentre() == s.options.Self.GetDataCentre() {
		return
	}
	known, ok := s.contacts[instance.GetName()]
	if ok && known.Instance.GetBoot() > instance.GetBoot() {
		return
	}
	contact := Contact{Instance: instance, ReportedAt: known.ReportedAt}
	if instance.GetReport() != nil {
		contact.ReportedAt = time.Now()
	}
	s.contacts[instance.GetName()] = contact
}

// Forget drops an instance of which the platform or the placement says that it
// is gone, unless it was heard since: then a new run has its name.
func (s *Service) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.contacts[name]
	if ok && time.Since(known.ReportedAt) > goneSilence {
		delete(s.contacts, name)
	}
	for _, row := range s.table.Rows() {
		if row.Name == name && row.Status != member.Alive {
			s.table.Remove(name)
		}
	}
}

// Leave tells the others that this instance ends.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Leave(time.Now())
}

// HandleExchange takes a heartbeat message and returns the messages in answer.
func (s *Service) HandleExchange(ctx context.Context, sender string, data []byte) ([][]byte, error) {
	m, err := member.Decode(data)
	if err != nil {
		return nil, err
	}
	var answers [][]byte
	for _, answer := range s.receive(m) {
		if answer.To == sender {
			answers = append(answers, answer.Encode())
			continue
		}
		go s.exchange(context.WithoutCancel(ctx), answer)
	}
	return answers, nil
}

// HandleHello takes note of the caller and returns the instances known here,
// this one first.
func (s *Service) HandleHello(_ context.Context, caller *peerpb.Instance) ([]*peerpb.Instance, error) {
	s.Add(caller)
	known := []*peerpb.Instance{s.self()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.table.Alive() {
		if row.Name != s.options.Self.GetName() {
			known = append(known, instanceOf(row))
		}
	}
	return known, nil
}

func (s *Service) self() *peerpb.Instance {
	self := &peerpb.Instance{
		Name:       s.options.Self.GetName(),
		DataCentre: s.options.Self.GetDataCentre(),
		Address:    s.options.Self.GetAddress(),
		Boot:       s.options.Self.GetBoot(),
		BootId:     s.options.Self.GetBootId(),
	}
	if s.options.Report != nil {
		self.Report = s.options.Report()
	}
	return self
}

func (s *Service) receive(m member.Message) []member.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Receive(time.Now(), m)
}

// exchange sends a message and goes on until neither side has more to say.
func (s *Service) exchange(ctx context.Context, m member.Message) {
	messages := []member.Message{m}
	for range maxAnswerRounds {
		var next []member.Message
		for _, m := range messages {
			next = append(next, s.send(ctx, m)...)
		}
		if len(next) == 0 {
			return
		}
		messages = next
	}
}

func (s *Service) send(ctx context.Context, m member.Message) []member.Message {
	answers, err := s.options.Client.Exchange(ctx, m.Address, m.Encode())
	if err != nil {
		return nil
	}
	var next []member.Message
	for _, data := range answers {
		answer, err := member.Decode(data)
		if err != nil {
			continue
		}
		next = append(next, s.receive(answer)...)
	}
	return next
}

func rowOf(instance *peerpb.Instance) member.Row {
	return member.Row{
		Name:       instance.GetName(),
		DataCentre: instance.GetDataCentre(),
		Address:    instance.GetAddress(),
		Boot:       instance.GetBoot(),
	}
}

func instanceOf(row member.Row) *peerpb.Instance {
	return &peerpb.Instance{
		Name:       row.Name,
		DataCentre: row.DataCentre,
		Address:    row.Address,
		Boot:       row.Boot,
	}
}
