package route

import (
	"fmt"
	"testing"
)

func benchmarkConfig(backends int) Config {
	c := Config{DataCentre: "a", DataCentres: []DataCentre{{Name: "a", Reachable: true, Ramp: 1}}}
	var names []string
	for i := range backends {
		g := newOpenGroup(fmt.Sprint("g", i), "a")
		g.Report.Requests = i % 7
		if i%5 == 0 {
			g.Digest = digestOf(1, 2, 3)
		}
		c.Groups = append(c.Groups, g)
		names = append(names, g.Name)
	}
	c.Routes = []Route{{Accounts: []string{"*"}, Groups: names}}
	return c
}

func BenchmarkChoose(b *testing.B) {
	blocks := make([]uint64, 32)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	for _, backends := range []int{105, 840} {
		for name, blocks := range map[string][]uint64{"prefix": blocks, "plain": nil} {
			b.Run(fmt.Sprintf("%s/%d", name, backends), func(b *testing.B) {
				v := NewView(benchmarkConfig(backends))
				r := Request{Account: "x", Model: "m", PromptTokens: 2000, Blocks: blocks}
				b.ReportAllocs()
				for b.Loop() {
					r.Random += 0x9e3779b97f4a7c15
					v.Choose(&r)
				}
			})
		}
	}
}

func BenchmarkNewView(b *testing.B) {
	for _, backends := range []int{105, 840} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			c := benchmarkConfig(backends)
			b.ReportAllocs()
			for b.Loop() {
				NewView(c)
			}
		})
	}
}

func BenchmarkWithGroup(b *testing.B) {
	for _, backends := range []int{105, 840} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			c := benchmarkConfig(backends)
			v := NewView(c)
			b.ReportAllocs()
			for b.Loop() {
				v.WithGroup(c.Groups[7])
			}
		})
	}
}
