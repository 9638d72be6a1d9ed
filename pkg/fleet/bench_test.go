package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/chicorystall/chicorystall/pkg/journal"
	. "github.com/onsi/gomega"
)

func TestExampleFleets(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/fleet.toml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(files).To(HaveLen(2))
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			g := NewWithT(t)
			data, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			c, findings := Parse(file, data)
			g.Expect(findings.Err()).NotTo(HaveOccurred())
			g.Expect(c.BackendServers).To(HaveLen(65 + 3))
			g.Expect(c.DataCentres).To(HaveLen(3))
			g.Expect(c.ClientAccounts).To(HaveLen(10))
			g.Expect(c.Presets).To(HaveLen(3))
		})
	}
}

// largeFleet returns a fleet with groups of eight backend servers each and ten client
// accounts.
func largeFleet(servers int) Config {
	const membersPerGroup = 8
	var c Config
	for i := range 5 {
		c = c.WithDataCentre(DataCentre{Name: fmt.Sprint("dc-", i)})
	}
	for i := range 10 {
		name := fmt.Sprint("account-", i)
		c = c.WithClientAccount(ClientAccount{Name: name, Key: "key-" + name, Weight: 1})
	}
	var group Group
	var all []string
	for i := range servers {
		b := BackendServer{
			Name:         fmt.Sprintf("worker-%04d", i),
			DataCentre:   fmt.Sprint("dc-", i/membersPerGroup%5),
			FabricDomain: fmt.Sprint("rack-", i/membersPerGroup/5),
			Address:      fmt.Sprintf("127.%d.%d.1:9000", i/200, i%200),
			MaxInFlight:  32,
			MaxTokens:    400000,
			Accelerators: 4,
		}
		c = c.WithBackendServer(b)
		group.Members = append(group.Members, b.Name)
		if len(group.Members) == membersPerGroup {
			group.Name, group.Model, group.DataCentre = fmt.Sprintf("group-%03d", i/membersPerGroup), "draft", b.DataCentre
			c = c.WithGroup(group)
			all = append(all, group.Name)
			group = Group{}
		}
	}
	routes := []Route{{ClientAccounts: []string{"*"}, Groups: all}}
	for i, name := range []string{"ordinary", "peak", "maintenance"} {
		c = c.WithPreset(Preset{Name: name, Default: i == 0, Routes: routes})
	}
	return c
}

// largeState returns the state of a large fleet that holds the verdicts of IDWindow
// records.
func largeState(b *testing.B, servers int) State {
	g := NewWithT(b)
	s, v := applyChange(g, State{}, "operator", PutFleet(largeFleet(servers)))
	g.Expect(v.Err()).NotTo(HaveOccurred())
	presets := []string{"ordinary", "peak"}
	for i := range int(IDWindow) {
		s, v = applyChange(g, s, "operator", UsePreset(presets[i%2]))
		g.Expect(v.Err()).NotTo(HaveOccurred())
	}
	return s
}

func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{105, 840} {
		s := largeState(b, servers)
		c := s.Config()
		changes := map[string]Change{
			"PresetUse":        UsePreset("maintenance"),
			"GroupPut":         PutGroup(c.Groups[0]),
			"BackendServerPut": PutBackendServer(c.BackendServers[0]),
			"FleetPut":         PutFleet(c),
		}
		for name, change := range changes {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) { benchmarkApply(b, s, change) })
		}
	}
}

// benchmarkApply measures applying one record, which is accepted.
func benchmarkApply(b *testing.B, s State, c Change) {
	r, err := s.Record(journal.NewID(), "operator-1", c)
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	data, err := r.Encode()
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	entry := journal.Entry{Offset: s.Offset() + 1, Data: data}
	b.ReportAllocs()
	accepted := true
	for b.Loop() {
		_, v := s.Apply(entry)
		accepted = accepted && v.Accepted
	}
	NewWithT(b).Expect(accepted).To(BeTrue())
	b.ReportMetric(float64(len(data)), "record-B")
}

func BenchmarkSnapshot(b *testing.B) {
	for _, servers := range []int{105, 840} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s := largeState(b, servers)
			var data []byte
			b.ReportAllocs()
			for b.Loop() {
				data, _ = s.Encode()
			}
			b.ReportMetric(float64(len(data)), "snapshot-B")
		})
	}
}
