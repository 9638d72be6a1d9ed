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
	// maxAnswerRounds is the maximum number of round trips in one exchange between
	// two instances.
	maxAnswerRounds = 3
	// contactMaxAge is the maximum age of a report from another data centre. Older
	// reports are not used.
	contactMaxAge = 5 * time.Second
	// forgetMinSilence is the time since the last report of an instance in another
	// data centre after which Forget removes it.
	forgetMinSilence = 2 * time.Second
)

// Options configures a Service.
type Options struct {
	Self     *peerpb.Instance
	Seeds    []string // addresses of instances to contact while no others are known
	Client   *peer.Client
	Interval time.Duration // between heartbeats
	// Report, if not nil, returns the report that this instance sends to other data
	// centres.
	Report func() *peerpb.InstanceReport
}

// Contact is an instance of another data centre and its newest report.
type Contact struct {
	Instance   *peerpb.Instance
	ReportedAt time.Time // when the newest report was received
}

// Service tracks which entry instances are alive.
type Service struct {
	options Options

	mu       sync.Mutex
	table    *member.Table
	contacts map[string]Contact // instances of other data centres by name
}

// New returns a Service that knows only its own instance.
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

// Run sends heartbeats until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.sendHellos(ctx, round)
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

// Alive returns the instances of this data centre that are not known to be dead or
// to have left, including this one.
func (s *Service) Alive() []member.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Alive()
}

// Contacts returns the instances of other data centres whose newest report is at
// most contactMaxAge old.
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

// Address returns the address of an instance and whether it is known.
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

// Addresses returns the addresses of the seeds and of all other instances that are
// not known to be dead. With ownDataCentreOnly, the instances of other data centres
// are left out, but not the seeds.
func (s *Service) Addresses(ownDataCentreOnly bool) []string {
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
		if !ownDataCentreOnly {
			add(contact.Instance.GetAddress())
		}
	}
	for _, seed := range s.options.Seeds {
		add(seed)
	}
	return addresses
}

// SetItem publishes a value of this instance to the instances of its data centre.
func (s *Service) SetItem(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetItem(key, value)
}

// Add adds or updates an instance, for example one that the platform lists.
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

// Forget removes an instance that has ended according to the platform or the
// placement. An instance that is alive, or whose last report is not older than
// forgetMinSilence, is kept, since it is a new run with the same name.
func (s *Service) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.contacts[name]
	if ok && time.Since(known.ReportedAt) > forgetMinSilence {
		delete(s.contacts, name)
	}
	for _, row := range s.table.Rows() {
		if row.Name == name && row.Status != member.Alive {
			s.table.Remove(name)
		}
	}
}

// Leave marks this instance as leaving, which the next heartbeats send to the
// others.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Leave(time.Now())
}

// HandleExchange processes a heartbeat message and returns the answers to its
// sender. Answers to other instances are sent in the background.
func (s *Service) HandleExchange(ctx context.Context, sender string, data []byte) ([][]byte, error) {
	m, err := member.Decode(data)
	if err != nil {
		return nil, err
	}
	var answers [][]byte
	for _, answer := range s.handleMessage(m) {
		if answer.To == sender {
			answers = append(answers, answer.Encode())
			continue
		}
		go s.exchange(context.WithoutCancel(ctx), answer)
	}
	return answers, nil
}

// HandleHello adds the caller, and returns this instance followed by the other live
// instances of its data centre.
func (s *Service) HandleHello(_ context.Context, caller *peerpb.Instance) ([]*peerpb.Instance, error) {
	s.Add(caller)
	instances := []*peerpb.Instance{s.selfInstance()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.table.Alive() {
		if row.Name != s.options.Self.GetName() {
			instances = append(instances, instanceOf(row))
		}
	}
	return instances, nil
}

// selfInstance returns the description of this instance with a current report.
func (s *Service) selfInstance() *peerpb.Instance {
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

func (s *Service) handleMessage(m member.Message) []member.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Receive(time.Now(), m)
}

// exchange sends a message, then the answers to its answers, until there are none
// or maxAnswerRounds is reached.
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

// send sends a message and returns the messages that its answers cause.
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
		next = append(next, s.handleMessage(answer)...)
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
