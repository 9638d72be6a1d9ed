package platform

import (
	"encoding/json"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	wire "github.com/chicorystall/chicorystall/internal/platform"
)

// call serves one request without a socket.
func call(p *Platform, method, path string, body any) *httptest.ResponseRecorder {
	text, _ := json.Marshal(body)
	recorder := httptest.NewRecorder()
	p.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(string(text))))
	return recorder
}

func register(p *Platform, name, bootID string, pid int) int {
	r := wire.Registration{Instance: wire.Instance{Name: name, BootID: bootID}, PID: pid}
	return call(p, "PUT", "/instances/"+name, r).Code
}

// states returns the listed state of each instance.
func states(p *Platform) map[string]wire.InstanceState {
	listed := make(map[string]wire.InstanceState)
	for _, instance := range p.list(time.Now()).Instances {
		listed[instance.Name] = instance.State
	}
	return listed
}

// bounds returns the offset of a stream's first entry and of its next one.
func bounds(p *Platform, stream string) [2]int {
	page, _, _ := p.page(stream, 1, 1)
	return [2]int{int(page.First), int(page.Next)}
}

func TestRetention(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		faults Faults
		want   [2]int // first and next after ten appends, one a second
	}{
		{"all", Config{}, Faults{}, [2]int{1, 11}},
		{"by age", Config{MaxAge: 4500 * time.Millisecond}, Faults{}, [2]int{7, 11}},
		{"by count", Config{MaxEntries: 3}, Faults{}, [2]int{8, 11}},
		{"reduced by a fault", Config{MaxEntries: 3}, Faults{KeepEntries: 1}, [2]int{10, 11}},
		{"nothing kept", Config{MaxAge: time.Millisecond}, Faults{}, [2]int{11, 11}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(test.config)
				p.Inject(test.faults)
				for range 10 {
					p.appendEntry("config", nil)
					time.Sleep(time.Second)
				}
				NewWithT(t).Expect(bounds(p, "config")).To(Equal(test.want))
			})
		})
	}
}

func TestAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := New(Config{AppendsPerSecond: 100})
		accepted := 0
		for range 10_000 {
			if call(p, "POST", "/log/config", "x").Code == 200 {
				accepted++
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(accepted).To(BeNumerically("~", 1000, 20))
		g.Expect(bounds(p, "config")[1]).To(Equal(accepted+1), "a refused append adds no entry")
	})
}

func TestOutageEndsAfterDuration(t *testing.T) {
	g := NewWithT(t)
	p := New(Config{})
	g.Expect(p.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	client := wire.New(p.Address())
	defer client.Close()
	p.Inject(Faults{Outage: Refuse, OutageMilliseconds: 50})
	_, err := client.Instances(t.Context())
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() error { _, err := client.Instances(t.Context()); return err }).WithTimeout(5 * time.Second).Should(Succeed())
}

func TestInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := New(Config{ListLag: 2 * time.Second})
		register(p, "a1", "boot1", 0)
		g.Expect(states(p)).To(BeEmpty(), "the list lags")
		time.Sleep(2 * time.Second)
		g.Expect(states(p)).To(Equal(map[string]wire.InstanceState{"a1": wire.Live}))

		p.Inject(Faults{MarkLeaving: []string{"a1"}})
		g.Expect(register(p, "a1", "boot1", 0)).To(Equal(200))
		g.Expect(states(p)).To(HaveKeyWithValue("a1", wire.Live))
		time.Sleep(2 * time.Second)
		g.Expect(states(p)).To(HaveKeyWithValue("a1", wire.Leaving), "renewing the registration does not undo leaving")

		time.Sleep(time.Hour)
		g.Expect(states(p)).To(HaveKeyWithValue("a1", wire.Leaving), "without GoneAfter a silent instance is not listed as gone")
		p.Inject(Faults{MarkGone: []string{"a1"}})
		time.Sleep(2 * time.Second)
		g.Expect(states(p)).To(HaveKeyWithValue("a1", wire.Gone))
		g.Expect(register(p, "a1", "boot1", 0)).To(Equal(409), "a boot ID that was listed as gone stays gone")
		g.Expect(register(p, "a1", "boot2", 0)).To(Equal(200))
		time.Sleep(2 * time.Second)
		g.Expect(states(p)).To(HaveKeyWithValue("a1", wire.Live))
	})
}

// TestProcessGone checks that an instance is listed as gone once its process is killed,
// and not while the process is only paused.
func TestProcessGone(t *testing.T) {
	g := NewWithT(t)
	command := exec.Command("sleep", "60")
	g.Expect(command.Start()).To(Succeed())
	defer command.Process.Kill()
	p := New(Config{})
	register(p, "a1", "boot1", command.Process.Pid)
	g.Expect(command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	g.Consistently(func() map[string]wire.InstanceState { return states(p) }).WithTimeout(100 * time.Millisecond).
		Should(HaveKeyWithValue("a1", wire.Live))
	g.Expect(command.Process.Kill()).To(Succeed())
	g.Eventually(func() map[string]wire.InstanceState { return states(p) }).WithTimeout(5*time.Second).
		Should(HaveKeyWithValue("a1", wire.Gone), "killed, and its parent has not waited for it")
}

func TestWeightRateIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := New(Config{WeightBytes: 1 << 20, WeightRate: 1 << 20})
		start := time.Now()
		done := make(chan int)
		for range 3 {
			go func() { done <- call(p, "GET", "/weights/draft/1", nil).Body.Len() }()
		}
		for range 3 {
			g.Expect(<-done).To(Equal(1 << 20))
		}
		g.Expect(time.Since(start)).To(BeNumerically("~", 3*time.Second, 200*time.Millisecond))
	})
}
