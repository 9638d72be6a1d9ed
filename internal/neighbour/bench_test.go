package neighbour

import (
	"runtime"
	"strconv"
	"testing"
)

// BenchmarkUnknownSenders receives one digest with 4,096 loads from each of 3,072
// addresses. It reports how much memory the stored digests take and how many
// instances are known.
func BenchmarkUnknownSenders(b *testing.B) {
	const senders = 3072
	d := digestOf("", 1)
	d.Load = make([]Load, 4096)
	for i := range d.Load {
		d.Load[i].Place = strconv.Itoa(i)
	}
	data := make([][]byte, senders)
	for i := range data {
		d.Instance = "s-" + strconv.Itoa(i)
		data[i] = encoded(b, d)
	}
	for b.Loop() {
		x := newExchanger()
		before := heapBytes()
		for i, datagram := range data {
			_ = x.handleDatagram(address(i+1), datagram, nil, testNow) // most are refused
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "held-MiB")
		b.ReportMetric(float64(len(x.peers)), "instances")
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
