package operator

import (
	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/pkg/fleet"
	"github.com/chicorystall/chicorystall/pkg/journal"
)

// Paths of the operators' API.
const (
	StatusPath   = "/status"
	ConfigPath   = "/config"
	CommandPath  = "/command"
	OverridePath = "/override"
	SkipLostPath = "/skip-lost"
)

// Command is one change of the configuration. Exactly one field besides ID and Writer
// is set.
type Command struct {
	ID     string // random; the same in every attempt
	Writer string // who sends the command

	FleetPut          *fleet.Config `json:",omitempty"`
	PresetPut         *fleet.Preset `json:",omitempty"`
	PresetUse         string        `json:",omitempty"`
	PresetRemove      string        `json:",omitempty"`
	GroupPut          *fleet.Group  `json:",omitempty"`
	GroupRemove       string        `json:",omitempty"`
	DataCentreDrain   string        `json:",omitempty"`
	DataCentreUndrain string        `json:",omitempty"`
}

// Change returns the command's change. It is an error if the command has no ID, or not
// exactly one change.
func (c Command) Change() (fleet.Change, error) {
	var changes []fleet.Change
	add := func(set bool, change func() fleet.Change) {
		if set {
			changes = append(changes, change())
		}
	}
	add(c.FleetPut != nil, func() fleet.Change { return fleet.PutFleet(*c.FleetPut) })
	add(c.PresetPut != nil, func() fleet.Change { return fleet.PutPreset(*c.PresetPut) })
	add(c.PresetUse != "", func() fleet.Change { return fleet.UsePreset(c.PresetUse) })
	add(c.PresetRemove != "", func() fleet.Change { return fleet.RemovePreset(c.PresetRemove) })
	add(c.GroupPut != nil, func() fleet.Change { return fleet.PutGroup(*c.GroupPut) })
	add(c.GroupRemove != "", func() fleet.Change { return fleet.RemoveGroup(c.GroupRemove) })
	add(c.DataCentreDrain != "", func() fleet.Change { return fleet.DrainDataCentre(c.DataCentreDrain) })
	add(c.DataCentreUndrain != "", func() fleet.Change { return fleet.UndrainDataCentre(c.DataCentreUndrain) })
	if len(changes) != 1 {
		return fleet.Change{}, errors.Newf("command %q holds %d changes, want 1", c.ID, len(changes))
	}
	if c.ID == "" {
		return fleet.Change{}, errors.New("command has no ID")
	}
	return changes[0], nil
}

// Result is the answer to a command.
type Result struct {
	ID            string         `json:",omitempty"`
	Offset        journal.Offset `json:",omitempty"` // of the record on the log
	Accepted      bool
	MayTakeEffect bool           `json:",omitempty"` // the record may still appear on the log
	Findings      fleet.Findings `json:",omitempty"`
	Error         string         `json:",omitempty"`
	InForce       []string       `json:",omitempty"` // entry instances that have the change in force
	NotInForce    []string       `json:",omitempty"` // entry instances that have an older configuration or did not answer
}

// Override sets or removes the drain mark of a data centre at one entry instance only,
// without the log. It applies until that instance has a newer configuration.
type Override struct {
	DataCentre string
	Drained    bool
}

// Configuration is the configuration in force at one entry instance, without the keys
// of the client accounts.
type Configuration struct {
	Offset journal.Offset
	Preset string
	Config fleet.Config
}

// Status is what one entry instance reports about itself and its data centre.
type Status struct {
	Instance        string
	DataCentre      string
	NotReady        string `json:",omitempty"`
	ConfigOffset    journal.Offset
	ConfigBehind    bool
	ConfigLost      bool `json:",omitempty"` // log entries expired before they were read, and no instance that answers has their state
	ConfigSource    string
	PlacementOffset journal.Offset
	Preset          string
	InHand          int  // requests in progress at the instance
	Waiting         int  // requests in its queues
	Controller      bool // holds the lease to manage the groups of its data centre
	LimitsSettled   bool // only the newest limits, and shares of them, are in force
	DataCentres     []DataCentre
	Groups          []Group
	Instances       []Instance `json:",omitempty"`
	Unreachable     []string   `json:",omitempty"`
}

// DataCentre is the state of a data centre, as known to the instance.
type DataCentre struct {
	Name    string
	Drained bool
}

// Group is the state of a group of the instance's data centre.
type Group struct {
	Name     string
	Model    string
	Phase    string
	Epoch    journal.Offset `json:",omitempty"`
	Members  []string       `json:",omitempty"`
	Bears    int            `json:",omitempty"` // requests that the group can take at a time
	InFlight int            `json:",omitempty"`
	NotWhole string         `json:",omitempty"` // why the group takes no requests; empty if it is whole
}

// Instance is another entry instance that answered.
type Instance struct {
	Name         string
	DataCentre   string
	Address      string
	ConfigOffset int64
	Behind       bool
}
