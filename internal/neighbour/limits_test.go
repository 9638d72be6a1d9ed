package neighbour

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRelaySumsUpTheUseOfLimits(t *testing.T) {
	own := []Limit{{Server: "w", Run: 1, PerSecond: 5, NamedAge: 300, Sent: 2, Demand: 1.5, Instances: 1}}
	member := []Limit{{Server: "w", Run: 1, PerSecond: 4, NamedAge: 100, FreeAge: 901, Sent: 3, Demand: 2, Instances: 1}}
	for _, c := range []struct {
		name    string
		second  []Limit
		age     time.Duration
		without []Limit
		want    Limit
	}{
		{"the newer naming counts, and all use", member, 0, nil, Limit{Server: "w", Run: 1, PerSecond: 4, NamedAge: 100, FreeAge: 901, Sent: 5, Demand: 3.5, Instances: 2}},
		{"older, as it was received a while ago", member, 400 * time.Millisecond, nil, Limit{Server: "w", Run: 1, PerSecond: 5, NamedAge: 300, FreeAge: 1301, Sent: 5, Demand: 3.5, Instances: 2}},
		{"without the receiver", member, 0, member, Limit{Server: "w", Run: 1, PerSecond: 4, NamedAge: 100, FreeAge: 901, Sent: 2, Demand: 1.5, Instances: 1}},
		{"a later run", []Limit{{Server: "w", Run: 2, PerSecond: 9, Sent: 1, Instances: 1}}, 0, nil, Limit{Server: "w", Run: 2, PerSecond: 9, Sent: 1, Instances: 1}},
		{"a run that is not known", []Limit{{Server: "w", PerSecond: 9, NamedAge: 400, Sent: 1, Instances: 1}}, 0, nil, Limit{Server: "w", Run: 1, PerSecond: 5, NamedAge: 300, Sent: 3, Demand: 1.5, Instances: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := limitSum{}
			sum.add(own, 0)
			sum.add(c.second, c.age)
			NewWithT(t).Expect(sum.without(c.without)).To(HaveExactElements(c.want))
		})
	}
}

func TestLimitsKeepTheirNumbersInADigest(t *testing.T) {
	g := NewWithT(t)
	now := testNow
	d := digestOf("peer", 1)
	d.Limits = []Limit{{Server: "w", Run: 7, PerSecond: 3.3, NamedAge: 12, FreeAge: 5, Sent: 4, Demand: 1.25, Instances: 1}}
	data, err := encode(d)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Limits).To(Equal(d.Limits))
}

func TestLimitsOutOfRangeAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Limit){
		"negative rate":      func(l *Limit) { l.PerSecond = -1 },
		"rate is no number":  func(l *Limit) { l.PerSecond = math.NaN() },
		"infinite rate":      func(l *Limit) { l.PerSecond = math.Inf(1) },
		"negative demand":    func(l *Limit) { l.Demand = -1 },
		"negative run":       func(l *Limit) { l.Run = -1 },
		"negative age":       func(l *Limit) { l.NamedAge = -1 },
		"negative count":     func(l *Limit) { l.Sent = -1 },
		"too many instances": func(l *Limit) { l.Instances = maxPeers + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			now := testNow
			d := digestOf("peer", 1)
			d.Limits = []Limit{{Server: "w"}}
			change(&d.Limits[0])
			NewWithT(t).Expect(reasonOf(d.check(now))).To(Equal(OutOfRange))
		})
	}
}
