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

// faultDuration is how long a test lets a fault last.
const faultDuration = 2 * time.Second

// injectUnderLoad sends load while inject causes failures, and then checks every
// outcome that was reported to a caller.
func injectUnderLoad(t *testing.T, d *Deployment, inject func(g Gomega)) *load.Report {
	t.Helper()
	g := NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan *load.Report)
	go func() { done <- d.sendLoad(ctx, 2*testTimeout, 30) }()
	time.Sleep(faultDuration / 4)
	inject(g)
	time.Sleep(faultDuration / 4)
	stop()
	report := <-done
	expectTrueOutcomes(g, d, report)
	return report
}

// shortTimeouts shortens the timeouts for backend servers that don't respond.
func shortTimeouts(s *entry.Settings) {
	s.Limits.BackendIdleTimeout = time.Second
	s.Limits.RequestTimeout = 10 * time.Second
}

func TestFailures(t *testing.T) {
	fastWorker := worker.Config{TokenTime: time.Millisecond}
	tests := []struct {
		name   string
		plan   Plan
		inject func(g Gomega, d *Deployment)
	}{
		{
			name: "answers of the log are lost after the append",
			plan: Plan{EntriesPerDataCentre: 2, Worker: fastWorker},
			inject: func(_ Gomega, d *Deployment) {
				d.Platform.Inject(platform.Faults{LoseAnswers: -1})
				time.Sleep(faultDuration)
				d.Platform.Inject(platform.Faults{})
			},
		},
		{
			name: "the platform hangs while an entry instance is replaced",
			plan: Plan{EntriesPerDataCentre: 3, Worker: fastWorker},
			inject: func(g Gomega, d *Deployment) {
				d.Platform.Inject(platform.Faults{Outage: platform.Hang})
				e := d.Entries()[0]
				g.Expect(d.StopEntryNow(e)).To(Succeed())
				replacement := d.StartEntry(e.Settings)
				g.Eventually(replacement.Server.Ready, testTimeout).Should(BeTrue(), "the new instance fetches its state from its peers")
				d.Platform.Inject(platform.Faults{})
			},
		},
		{
			name: "a model worker crashes and is cold after its restart",
			plan: Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: fastWorker},
			inject: func(_ Gomega, d *Deployment) {
				d.Workers["dc-1-worker-1-1"].Inject(worker.Faults{Crash: true})
				time.Sleep(faultDuration)
			},
		},
		{
			name: "a model worker stops responding",
			plan: Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: fastWorker, Settings: shortTimeouts},
			inject: func(_ Gomega, d *Deployment) {
				d.Workers["dc-1-worker-1-1"].Inject(worker.Faults{Freeze: true})
				time.Sleep(faultDuration)
				d.Workers["dc-1-worker-1-1"].Inject(worker.Faults{})
			},
		},
		{
			name: "streams are cut, repeat a chunk or contain one of another request",
			plan: Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: fastWorker},
			inject: func(_ Gomega, d *Deployment) {
				for _, w := range d.Workers {
					w.Inject(worker.Faults{CutStreamAfter: 5, RepeatChunk: 3, CrossChunk: 4})
				}
				time.Sleep(faultDuration)
				for _, w := range d.Workers {
					w.Inject(worker.Faults{})
				}
			},
		},
		{
			name: "order desks crash and lose answers",
			plan: Plan{EntriesPerDataCentre: 2, DesksPerDataCentre: 2, Worker: fastWorker},
			inject: func(_ Gomega, d *Deployment) {
				for _, service := range d.Desks {
					service.Inject(desk.Faults{CrashBeforeRun: 2, CrashAfterRun: 2, LoseAnswers: 3})
				}
				time.Sleep(faultDuration)
			},
		},
		{
			name: "an entry instance stops without completing its requests",
			plan: Plan{EntriesPerDataCentre: 3, Worker: fastWorker},
			inject: func(g Gomega, d *Deployment) {
				g.Expect(d.StopEntryNow(d.Entries()[1])).To(Succeed())
				time.Sleep(faultDuration)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startPlan(t, tt.plan)
			injectUnderLoad(t, d, func(g Gomega) { tt.inject(g, d) })
			expectWithinLimits(NewWithT(t), d)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			NewWithT(t).Expect(d.AwaitGroups(ctx)).To(Succeed(), "every group is whole again")
		})
	}
}

func TestMemberLost(t *testing.T) {
	g := NewWithT(t)
	d := startPlan(t, Plan{EntriesPerDataCentre: 2, GroupSize: 2, Spares: 1, Worker: worker.Config{TokenTime: time.Millisecond}})
	d.Workers["dc-1-worker-1-2"].Inject(worker.Faults{Freeze: true})
	operators := d.Operator()
	wholeMembers := func() []string {
		status, err := operators.Status(t.Context(), false)
		if err != nil || len(status.Groups) == 0 || status.Groups[0].NotWhole != "" {
			return nil
		}
		return status.Groups[0].Members
	}
	g.Eventually(wholeMembers, testTimeout).Should(ConsistOf("dc-1-worker-1-1", "dc-1-spare-1"))
	report := d.sendLoad(t.Context(), faultDuration/2, 4)
	expectTrueOutcomes(g, d, report)
	g.Expect(report.Drafts(load.Wrong)).To(BeZero())
}

// startedRequests returns how many requests the model workers of a data centre have
// started.
func (d *Deployment) startedRequests(dc string) int {
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
	report := injectUnderLoad(t, d, func(g Gomega) {
		result, err := d.Operator().Send(t.Context(), operator.Command{ID: uuid.NewString(), Writer: "test", DataCentreDrain: "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
		g.Expect(result.NotInForce).To(BeEmpty())
		time.Sleep(faultDuration)
		before := d.startedRequests("b")
		time.Sleep(faultDuration)
		g.Expect(d.startedRequests("b")).To(Equal(before), "no request starts once faultDuration has passed")
		result, err = d.Operator().Send(t.Context(), operator.Command{ID: uuid.NewString(), Writer: "test", DataCentreUndrain: "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
		g.Eventually(func() int { return d.startedRequests("b") }, testTimeout).Should(BeNumerically(">", before))
	})
	g := NewWithT(t)
	g.Expect(report.Reasons()).To(BeEmpty(), "the other data centres take all requests")
	expectWithinLimits(g, d)
}

func TestLeavingWorker(t *testing.T) {
	d := startPlan(t, Plan{EntriesPerDataCentre: 2, GroupsPerDataCentre: 2, Worker: worker.Config{TokenTime: time.Millisecond}})
	leaving := d.Workers["dc-1-worker-1-1"]
	injectUnderLoad(t, d, func(g Gomega) {
		leaving.Inject(worker.Faults{Leaving: true})
		time.Sleep(faultDuration)
		before := leaving.Counts().StartedWhileLeaving
		time.Sleep(faultDuration)
		g.Expect(leaving.Counts().StartedWhileLeaving).To(Equal(before), "no request starts once faultDuration has passed")
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
	report := injectUnderLoad(t, d, func(g Gomega) {
		send(g, operator.Command{DataCentreDrain: "b"})
		time.Sleep(faultDuration)
		for _, server := range d.Fleet.BackendServers {
			if w := d.Workers[server.Name]; w != nil && server.DataCentre == "b" {
				w.Inject(worker.Faults{Crash: true})
			}
		}
		time.Sleep(faultDuration / 4)
		send(g, operator.Command{DataCentreUndrain: "b"})
		time.Sleep(faultDuration)
	})
	g := NewWithT(t)
	expectWithinLimits(g, d)
	g.Expect(report.Reasons()).To(BeEmpty())
}
