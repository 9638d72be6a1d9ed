package measure

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/endless"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const (
	besideServers  = 10
	besideSlots    = 26                     // per server, as at the users' model workers
	besideCallers  = 26                     // callers of the faulty service
	besidePause    = 100 * time.Millisecond // between two requests of a caller
	besideSpan     = 10 * time.Second
	besideInterval = 5 * time.Millisecond // between two requests to the healthy service
	besideDeadline = 2 * time.Second
)

// EndlessBeside measures requests to a healthy service while callers of the same
// entry instance send requests to another service, whose ten servers send endless
// answers.
func EndlessBeside(seed uint64) Table { return endlessBesideTable(seed, besideSpan) }

func endlessBesideTable(seed uint64, span time.Duration) Table {
	t := Table{
		Name: "answers without end, beside", Seed: seed,
		Columns: []string{"servers without end", "sound: requests", "not 200", "p50 ms", "p99 ms", "direct calls: p99 ms", "peak heap MiB", "endless answers", "read of each, KiB"},
		Note: fmt.Sprintf("%v. The sound service gets a request every %v, the other one those of %d callers that pause for %v. Heap and processor are those of the whole process, stand-ins and callers included.",
			span, besideInterval, besideCallers, besidePause),
	}
	for _, n := range []int{0, besideServers} {
		t.Rows = append(t.Rows, endlessBesideRow(n, span))
	}
	return t
}

func endlessBesideRow(n int, span time.Duration) []string {
	healthy := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerID, r.Header.Get(headerID))
		rw.Header().Set(headerSigned, "1")
		io.WriteString(rw, "ok")
	}))
	defer healthy.Close()
	places := []dispatch.Place{{ID: "sound", Service: "sound", DataCentre: "a", Address: healthy.Listener.Addr().String(), Slots: besideSlots}}
	var servers []*endlessServer
	for i := range n {
		// Only the parts before the trailers, since a long body may be a valid answer.
		s := newEndlessServer(endless.Parts()[i%int(endless.Trailers)], endlessMaxBytes)
		defer s.Close()
		servers = append(servers, s)
		places = append(places, s.place("faulty", besideSlots))
	}
	front := httptest.NewServer(endlessGateway(besideDeadline, places...))
	defer front.Close()
	heap := watchHeap()
	var callers sync.WaitGroup
	end := time.Now().Add(span)
	if n > 0 {
		for i := range besideCallers {
			path := []string{"/safe/a", "/unsafe/a", "/stream/a"}[i%3]
			callers.Go(func() {
				for time.Now().Before(end) {
					endlessSend(front.Listener.Addr(), "faulty", path, besideDeadline)
					time.Sleep(besidePause)
				}
			})
		}
	}
	var took, direct []time.Duration
	failed := 0
	for time.Now().Before(end) {
		began := time.Now()
		if endlessSend(front.Listener.Addr(), "sound", "/safe/a", besideDeadline) != "200" {
			failed++
		}
		took = append(took, time.Since(began))
		began = time.Now()
		endlessSend(healthy.Listener.Addr(), "sound", "/safe/a", besideDeadline)
		direct = append(direct, time.Since(began))
		time.Sleep(besideInterval)
	}
	callers.Wait()
	peak := heap()
	var written, runs int64
	for _, s := range servers {
		s.answers.Wait()
		written += s.written.Load()
		runs += s.requests.Load()
	}
	return []string{
		fmt.Sprint(n), fmt.Sprint(len(took)), fmt.Sprint(failed), percentile(took, 0.5), percentile(took, 0.99), percentile(direct, 0.99), fmt.Sprintf("%.1f", float64(peak)/mebibyte),
		fmt.Sprint(runs), fmt.Sprint(written / max(runs, 1) / 1024),
	}
}

func percentile(times []time.Duration, share float64) string {
	slices.Sort(times)
	return fmt.Sprintf("%.1f", float64(times[int(share*float64(len(times)-1))].Microseconds())/1000)
}
