package deployment

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/entry"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
	"github.com/chicorystall/chicorystall/internal/load"
	"github.com/chicorystall/chicorystall/internal/operator"
	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// faultTime is how long a fault lasts.
const faultTime = 2 * time.Second

// underLoad sends requests while the function brings about failures, and checks
// every outcome afterwards.
func underLoad(t *testing.T, d *Deployment, fail func(g Gomega)) *load.Report {
	t.Helper()
	g := NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan *load.Report)
	go func() { done <- d.loadFor(ctx, 2*patience, 30) }()
	time.Sleep(faultTime / 4)
	fail(g)
	time.Sleep(faultTime / 4)
	stop()
	report := <-done
	expectPromises(g, d, report)
	return report
}

// quick lowers the patience with silent backend servers.
func quick(s *entry.Settings) {
	s.Limits.BackendIdleTimeout = time.Second
	s.Limits.RequestTimeout = 10 * time.Second
}

func TestFailures(t *testing.T) {
	fast := worker.Config{TokenTime: time.Millisecond}
	tests := []struct {
		name string
		plan Plan
		fail func(g Gomega, d *Deployment)
	}{
		{
			name: "answers of the log are lost",
			plan: Plan{EntriesPerDataCentre: 2, Worker: fast},
			fail: func(_ Gomega, d *Deployment) {
				d.Platform.Inject(platform.Faults{LoseAnswers: -1})
				time.Sleep(faultTime)
				d.Platform.Inject(platform.Faults{})
			},
		},
		{
			name: "the platform is out while an entry instance is replaced",
			plan: Plan{EntriesPerDataCentre: 3, Worker: fast},
			fail: func(g Gomega, d *Deployment) {
				d.Platform.Inject(platform.Faults{Outage: platform.Hang})
				e := d.Entries()[0]
				g.Expect(d.StopEntryNow(e)).To(Succeed())
				replacement := d.StartEntry(e.Settings)
				g.Eventually(replacement.Server.Ready, patience).Should(BeTrue(), "it has its state from its peers")
				d.Platform.Inject(platform.Faults{})
			},
		},
		{
			name: "a model worker crashes and turns cold",
			plan: Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: fast},
			fail: func(_ Gomega, d *Deployment) {
				d.Workers["dc-1-worker-1-1"].Inject(worker.Faults{Crash: true})
				time.Sleep(faultTime)
			},
		},
		{
			name: "a model worker goes silent",
			plan: Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: fast, Settings: quick},
			fail: func(_ Gomega, d *Deployment) {
				d.Workers["dc-1-worker-1-1"].Inject(worker.Faults{Freeze: true})
				time.Sleep(faultTime)
				d.Workers["dc-1-worker-1-1"].Inject(worker.Faults{})
			},
		},
		{
			name: "streams are cut, repeat and cross",
			plan: Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: fast},
			fail: func(_ Gomega, d *Deployment) {
				for _, w := range d.Workers {
					w.Inject(worker.Faults{CutStreamAfter: 5, RepeatChunk: 3, CrossChunk: 4})
				}
				time.Sleep(faultTime)
				for _, w := range d.Workers {
					w.Inject(worker.Faults{})
				}
			},
		},
		{
			name: "order desks crash and lose answers",
			plan: Plan{EntriesPerDataCentre: 2, DesksPerDataCentre: 2, Worker: fast},
			fail: func(_ Gomega, d *Deployment) {
				for _, service := range d.Desks {
					service.Inject(desk.Faults{CrashBeforeRun: 2, CrashAfterRun: 2, LoseAnswers: 3})
				}
				time.Sleep(faultTime)
			},
		},
		{
			name: "an entry instance ends at once",
			plan: Plan{EntriesPerDataCentre: 3, Worker: fast},
			fail: func(g Gomega, d *Deployment) {
				g.Expect(d.StopEntryNow(d.Entries()[1])).To(Succeed())
				time.Sleep(faultTime)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startPlan(t, tt.plan)
			underLoad(t, d, func(g Gomega) { tt.fail(g, d) })
			expectWithinLimits(NewWithT(t), d)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			NewWithT(t).Expect(d.AwaitGroups(ctx)).To(Succeed(), "every group serves again")
		})
	}
}

func TestMemberLost(t *testing.T) {
	g := NewWithT(t)
	d := startPlan(t, Plan{EntriesPerDataCentre: 2, GroupSize: 2, Spares: 1, Worker: worker.Config{TokenTime: time.Millisecond}})
	d.Workers["dc-1-worker-1-2"].Inject(worker.Faults{Freeze: true})
	operators := d.Operator()
	members := func() []string {
		status, err := operators.Status(t.Context(), false)
		if err != nil || len(status.Groups) == 0 || status.Groups[0].NotWhole != "" {
			return nil
		}
		return status.Groups[0].Members
	}
	g.Eventually(members, patience).Should(ConsistOf("dc-1-worker-1-1", "dc-1-spare-1"))
	report := d.loadFor(t.Context(), faultTime/2, 4)
	expectPromises(g, d, report)
	g.Expect(report.Drafts(load.Wrong)).To(BeZero())
}

// started returns how many requests the workers of a data centre began.
func (d *Deployment) started(dc string) int {
	total := 0
	for _, server := range d.Fleet.BackendServers {
		if w := d.Workers[server.Name]; w != nil && server.DataCentre == dc {
			total += len(w.Counts().Started)
		}
	}
	return total
}

func TestDataCentreTakenOut(t *testing.T) {
	d := startPlan(t, Plan{DataCentres: []string{"a", "b", "c"}, GroupsPerDataCentre: 2, MaxInFlight: 16, Worker: worker.Config{TokenTime: time.Millisecond}})
	report := underLoad(t, d, func(g Gomega) {
		result, err := d.Operator().Send(t.Context(), operator.Command{ID: uuid.NewString(), Writer: "test", DataCentreDrain: "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
		g.Expect(result.NotInForce).To(BeEmpty())
		time.Sleep(faultTime)
		before := d.started("b")
		time.Sleep(faultTime)
		g.Expect(d.started("b")).To(Equal(before), "no new work within seconds")
		result, err = d.Operator().Send(t.Context(), operator.Command{ID: uuid.NewString(), Writer: "test", DataCentreUndrain: "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
		g.Eventually(func() int { return d.started("b") }, patience).Should(BeNumerically(">", before))
	})
	g := NewWithT(t)
	g.Expect(report.Reasons()).To(BeEmpty(), "the neighbours take all work")
	expectWithinLimits(g, d)
}

func TestLeavingWorker(t *testing.T) {
	d := startPlan(t, Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: worker.Config{TokenTime: time.Millisecond}})
	leaving := d.Workers["dc-1-worker-1-1"]
	underLoad(t, d, func(g Gomega) {
		leaving.Inject(worker.Faults{Leaving: true})
		time.Sleep(faultTime)
		before := leaving.Counts().StartedWhileLeaving
		time.Sleep(faultTime)
		g.Expect(leaving.Counts().StartedWhileLeaving).To(Equal(before), "no new work within seconds")
	})
}

func TestRacingOperators(t *testing.T) {
	g := NewWithT(t)
	d := startPlan(t, Plan{EntriesPerDataCentre: 2, Worker: worker.Config{TokenTime: time.Millisecond}})
	groups := []string{d.Fleet.Groups[0].Name}
	results := make(chan operator.Result)
	for i, e := range d.Entries() {
		go func() {
			preset := fleet.Preset{Name: "peak", Routes: []fleet.Route{{ClientAccounts: []string{"*"}, Groups: groups, Priority: i}}}
			result, err := operator.Client{Address: e.Settings.OperatorsAddress}.Send(t.Context(), operator.Command{ID: uuid.NewString(), PresetPut: &preset})
			if err != nil {
				result.Error = err.Error()
			}
			results <- result
		}()
	}
	first, second := <-results, <-results
	g.Expect([]string{first.Error, second.Error}).To(HaveEach(BeEmpty()))
	g.Expect(first.Accepted || second.Accepted).To(BeTrue())
	for _, e := range d.Entries() {
		config, err := operator.Client{Address: e.Settings.OperatorsAddress}.Configuration(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(config.Preset).To(Equal(Preset))
		g.Expect(config.Config.Presets).To(HaveLen(2))
	}
}

func TestKeysAreNotShown(t *testing.T) {
	g := NewWithT(t)
	d := startPlan(t, Plan{})
	for _, path := range []string{operator.ConfigPath, operator.StatusPath, "/debug/vars"} {
		response, err := http.Get("http://" + d.Entries()[0].Settings.OperatorsAddress + path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response).To(HaveHTTPBody(Not(ContainSubstring(AccountKey(AccountName(0))))), path)
		_ = response.Body.Close()
	}
}

func TestDataCentreReturnsCold(t *testing.T) {
	d := startPlan(t, Plan{
		DataCentres: []string{"a", "b", "c"}, EntriesPerDataCentre: 3, GroupsPerDataCentre: 3, MaxInFlight: 8, ColdInFlight: 2,
		Worker: worker.Config{TokenTime: 2 * time.Millisecond},
	})
	send := func(g Gomega, command operator.Command) {
		command.ID, command.Writer = uuid.NewString(), "test"
		result, err := d.Operator().Send(t.Context(), command)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
	}
	report := underLoad(t, d, func(g Gomega) {
		send(g, operator.Command{DataCentreDrain: "b"})
		time.Sleep(faultTime)
		for _, server := range d.Fleet.BackendServers {
			if w := d.Workers[server.Name]; w != nil && server.DataCentre == "b" {
				w.Inject(worker.Faults{Crash: true})
			}
		}
		time.Sleep(faultTime / 4)
		send(g, operator.Command{DataCentreUndrain: "b"})
		time.Sleep(faultTime)
	})
	g := NewWithT(t)
	expectWithinLimits(g, d)
	g.Expect(report.Reasons()).To(BeEmpty())
}
