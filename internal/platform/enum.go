package platform

import (
	"fmt"
)

// MarshalText returns the state's name.
func (s InstanceState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *InstanceState) UnmarshalText(text []byte) error {
	for _, state := range []InstanceState{Live, Leaving, Gone} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown instance state %q", text)
}

// MarshalText returns the kind's name.
func (k InstanceKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a kind's name.
func (k *InstanceKind) UnmarshalText(text []byte) error {
	for _, kind := range []InstanceKind{Entry, Backend} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("unknown instance kind %q", text)
}
