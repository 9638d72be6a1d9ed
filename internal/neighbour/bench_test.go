package neighbour

import (
	"runtime"
	"strconv"
	"testing"
)

// BenchmarkStrangers sends one digest of 4,096 loads from each of 3,072
// addresses and tells what is held afterwards.
func BenchmarkStrangers(b *testing.B) {
	const strangers = 3072
	d := digestOf("", 1)
	d.Load = make([]Load, 4096)
	for i := range d.Load {
		d.Load[i].Place = strconv.Itoa(i)
	}
	data := make([][]byte, strangers)
	for i := range data {
		d.Instance = "s-" + strconv.Itoa(i)
		data[i] = encoded(b, d)
	}
	for b.Loop() {
		n := newExchanger()
		before := heap()
		for i, datagram := range data {
			_ = n.take(address(i+1), datagram, nil, now) // most are refused
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "held-MiB")
		b.ReportMetric(float64(len(n.peers)), "instances")
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
