package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/fake/groupworker"
	"github.com/chicorystall/chicorystall/internal/fake/metastore"
)

// run lets clients send requests while it injects disturbances, and returns what was seen.
func (s *series) run(duration time.Duration) *seriesRecord {
	var clients sync.WaitGroup
	for n := range seriesInstances * s.clients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		clients.Go(func() { s.runClient(n, random) })
	}
	time.Sleep(s.calm)
	var disturbances sync.WaitGroup
	addAfter := time.Duration(s.random.Int64N(int64(duration)))
	disturbances.Go(func() {
		time.Sleep(addAfter)
		added := s.instances[seriesInstances-1]
		s.note("instance %d is added", added.number)
		s.start(added)
		added.restarting.Unlock()
	})
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.disturb(&disturbances, rand.New(rand.NewPCG(s.random.Uint64(), 0)))
		time.Sleep(s.minInterval + time.Duration(100+s.random.IntN(900))*time.Millisecond)
	}
	disturbances.Wait()
	time.Sleep(time.Second)
	s.stopping.Store(true)
	clients.Wait()
	s.checkLastConfig()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.record.requests {
		q := &s.record.requests[n]
		route, _, _ := strings.Cut(q.id, "-")
		q.limit = s.limit(route, q.limit, q.sent, q.ended)
	}
	return &s.record
}

// disturb injects a disturbance that the seed draws.
func (s *series) disturb(group *sync.WaitGroup, random *rand.Rand) {
	i := s.instances[random.IntN(seriesInstances)]
	switch s.kinds[random.IntN(len(s.kinds))] {
	case hangUp:
		if i.isReady() {
			s.note("SIGHUP to instance %d", i.number)
			i.signal(syscall.SIGHUP)
		}
	case restartOne:
		group.Go(func() { s.restart(i, random.IntN(3) == 0) })
	case restartSome:
		first, count := random.IntN(seriesInstances), 2+random.IntN(4)
		s.note("rolling restart of %d instances from %d on", count, first)
		group.Go(func() {
			var stops sync.WaitGroup
			for n := range count {
				stops.Go(func() { s.restart(s.instances[(first+n)%seriesInstances], false) })
				time.Sleep(time.Second)
			}
			stops.Wait()
		})
	case changeConfig:
		s.changeConfig("one", random.IntN(4))
	case flickerRoute:
		group.Go(func() {
			s.setDraftRoute(false)
			time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
			s.setDraftRoute(true)
		})
	case stormConfigs:
		change, count := random.IntN(4), 4+random.IntN(10)
		s.note("storm of %d configurations", count)
		group.Go(func() {
			for range count {
				s.changeConfig("storm", change)
				time.Sleep(330 * time.Millisecond)
			}
		})
	case silenceSome:
		s.silence(random, time.Duration(800+random.IntN(600))*time.Millisecond, false)
	case silenceAll:
		s.silence(random, time.Duration(800+random.IntN(600))*time.Millisecond, true)
	case limitWorkers:
		s.nameLimits(group, random, time.Duration(6000+random.IntN(6000))*time.Millisecond)
	case restoreStore:
		age, outage := time.Duration(1000+random.IntN(6000))*time.Millisecond, time.Duration(200+random.IntN(2300))*time.Millisecond
		group.Go(func() { s.restoreStore(age, outage) })
	case harmWorkers:
		s.harm(group, random, time.Duration(2000+random.IntN(4000))*time.Millisecond)
	case harmAndRestartAll:
		s.harm(group, random, seriesRetryWindow)
		time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
		for _, i := range s.instances {
			group.Go(func() { s.restart(i, false) })
		}
	}
}

// restart stops an instance and starts it again. An instance that is already being
// restarted stays as it is.
func (s *series) restart(i *seriesInstance, hangsUp bool) {
	if !i.restarting.TryLock() {
		return
	}
	defer i.restarting.Unlock()
	s.mu.Lock()
	s.record.stops = append(s.record.stops, seriesStop{instance: i.number, at: s.since()})
	s.mu.Unlock()
	s.note("SIGTERM to instance %d", i.number)
	exited := i.signal(syscall.SIGTERM)
	if hangsUp {
		s.note("SIGHUP to instance %d, which stops", i.number)
		i.signal(syscall.SIGHUP)
	}
	<-exited
	s.start(i)
	s.note("instance %d starts again", i.number)
}

// changeConfig sends a changed configuration.
func (s *series) changeConfig(why string, change int) {
	s.mu.Lock()
	c := &s.config
	switch change {
	case 0:
		if c.timeout == seriesUsualTimeout {
			c.timeout = 400 * time.Millisecond
		} else {
			c.timeout = seriesUsualTimeout
		}
	case 1:
		c.noSpare = !c.noSpare
	case 2:
		c.extraKey = !c.extraKey
	case 3:
		c.bulkRoutes = 300 - c.bulkRoutes
	}
	config := *c
	s.mu.Unlock()
	s.note("configuration (%s): %+v", why, config)
	s.putConfig()
}

// setDraftRoute removes the route of streams or restores it.
func (s *series) setDraftRoute(present bool) {
	s.mu.Lock()
	s.config.noDraft = !present
	s.mu.Unlock()
	s.note("configuration: route of streams present: %v", present)
	s.putConfig()
}

// silence makes sound workers silent for a while: all, or the head of a group and a plain
// worker.
func (s *series) silence(random *rand.Rand, d time.Duration, all bool) {
	heads := s.fleet.OpenHeads("draft")
	if len(heads) == 0 {
		return
	}
	silent := heads
	if !all {
		silent = []string{heads[random.IntN(len(heads))], fmt.Sprintf("d-%d", random.IntN(seriesPlainWorkers))}
	}
	s.note("silence of %v for %v", silent, d)
	for _, id := range silent {
		s.fleet.Silence(id, d)
	}
}

// nameLimits makes some workers name a limit for a while: all plain ones, or most heads. A
// worker whose limit would overlap an earlier one keeps that.
func (s *series) nameLimits(group *sync.WaitGroup, random *rand.Rand, d time.Duration) {
	var limited []string
	if random.IntN(2) == 0 {
		for n := range seriesPlainWorkers {
			limited = append(limited, fmt.Sprintf("d-%d", n))
		}
	} else {
		for _, id := range s.fleet.OpenHeads("draft") {
			if random.Float64() < 0.7 {
				limited = append(limited, id)
			}
		}
	}
	limits := make([]seriesLimit, len(limited))
	for n, id := range limited {
		limits[n] = seriesLimit{worker: id, perSecond: []float64{0.5, 2, 3.3, 8}[random.IntN(4)]}
	}
	s.note("limits of %v for %v", limits, d)
	group.Go(func() {
		s.mu.Lock()
		limits = slices.DeleteFunc(limits, func(l seriesLimit) bool { return s.limited[l.worker] })
		for n := range limits {
			limits[n].from = s.since()
			s.limited[limits[n].worker] = true
			s.fleet.SetLimit(limits[n].worker, fmt.Sprint(limits[n].perSecond))
		}
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
		defer s.mu.Unlock()
		for n := range limits {
			s.fleet.SetLimit(limits[n].worker, "")
			limits[n].to = s.since()
			delete(s.limited, limits[n].worker)
		}
		s.record.limits = append(s.record.limits, limits...)
	})
}

// restoreStore takes the store away for a while and lets it come back from a copy of some
// age. Operator and workers write again what it lost.
func (s *series) restoreStore(age, outage time.Duration) {
	if !s.restoring.TryLock() {
		return
	}
	defer s.restoring.Unlock()
	c := s.store.Copy()
	time.Sleep(age)
	s.note("the store goes away")
	s.store.SetFault(metastore.Down)
	time.Sleep(outage)
	s.mu.Lock() // no configuration is sent meanwhile
	s.store.Restore(c)
	s.store.Put("keyed.op", "config", s.configData)
	s.mu.Unlock()
	s.store.SetFault(metastore.None)
	s.note("the store is back from a copy of %v", age)
	time.Sleep(300 * time.Millisecond)
	s.fleet.WriteEntries()
}

// checkLastConfig records the instances that take requests and don't know the last
// configuration in time.
func (s *series) checkLastConfig() {
	s.putConfig()
	time.Sleep(seriesConfigDelay)
	for _, i := range s.instances {
		if !i.isReady() {
			continue
		}
		path := fmt.Sprintf("/version-%d/", s.config.version)
		request, err := http.NewRequest(http.MethodGet, "http://"+i.address+path, nil)
		s.g.Expect(err).NotTo(HaveOccurred())
		request.Host = "app.example"
		request.Header = http.Header{"X-Request-Id": {fmt.Sprintf("last-%d", i.number)}, "X-Deadline-Ms": {"1000"}, "Authorization": {"Bearer library-key"}}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue // the instance has stopped
		}
		response.Body.Close()
		if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusUnauthorized {
			s.record.outdated = append(s.record.outdated, fmt.Sprintf("instance %d answers %d to %s", i.number, response.StatusCode, path))
		}
	}
}

// harm makes some workers break off their answers for a while.
func (s *series) harm(group *sync.WaitGroup, random *rand.Rand, d time.Duration) {
	harmed := []string{fmt.Sprintf("d-%d", random.IntN(seriesPlainWorkers))}
	heads := s.fleet.OpenHeads("draft")
	for _, id := range heads {
		if random.Float64() < s.harmedShare {
			harmed = append(harmed, id)
		}
	}
	fault := []groupworker.Fault{groupworker.Reset, groupworker.Cut, groupworker.Refuse}[random.IntN(3)]
	s.note("fault %d of %v for %v", fault, harmed, d)
	group.Go(func() {
		from := s.since()
		for _, id := range harmed {
			s.fleet.SetFault(id, fault)
		}
		time.Sleep(d)
		for _, id := range harmed {
			s.fleet.SetFault(id, groupworker.None)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.troubles = append(s.record.troubles, seriesTrouble{from, s.since()})
	})
}

// runClient sends requests one after the other on a connection that it keeps as long as
// the instance does.
func (s *series) runClient(n int, random *rand.Rand) {
	i := s.instances[n%seriesInstances]
	var conn net.Conn
	var reader *bufio.Reader
	for count := 0; !s.stopping.Load(); count++ {
		if conn == nil {
			c, err := net.DialTimeout("tcp4", i.address, time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		begun := time.Now()
		q := seriesRequest{instance: i.number, limit: seriesClientTimeout}
		route := s.routes[random.IntN(len(s.routes))]
		q.kind = map[string]string{"draft": streamKind, "order": unsafeKind}[route]
		if q.service = "desk"; route == "draft" {
			q.service = "pool"
		}
		if q.kind == "" {
			q.kind = safeKind
		}
		if random.IntN(5) == 0 {
			q.limit = 600 * time.Millisecond
		}
		q.id = fmt.Sprintf("%s-%d-%d", route, n, count)
		kept := s.exchange(conn, reader, &q, route)
		s.mu.Lock()
		s.record.requests = append(s.record.requests, q)
		s.mu.Unlock()
		if !kept {
			conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(random.IntN(150))*time.Millisecond - time.Since(begun) + s.minPeriod)
	}
	if conn != nil {
		conn.Close()
	}
}

// exchange sends a request and reads its answer. It reports whether the connection can be
// used again.
func (s *series) exchange(conn net.Conn, reader *bufio.Reader, q *seriesRequest, route string) (kept bool) {
	var b strings.Builder
	method, body := http.MethodGet, ""
	if q.kind != safeKind {
		method, body = http.MethodPost, "a draft"
	}
	fmt.Fprintf(&b, "%s /%s/1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer library-key\r\n",
		method, route, q.id, q.limit.Milliseconds())
	if q.kind == streamKind {
		b.WriteString("X-Model: draft\r\nX-Token-Counts: 100,40\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	q.sent = s.since()
	defer func() { q.ended = s.since() }()
	_ = conn.SetDeadline(time.Now().Add(q.limit + time.Second)) // fails only on a closed connection
	if _, err := io.WriteString(conn, b.String()); err != nil {
		q.unsent = true
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	q.status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	q.whole = err == nil
	return q.whole && !response.Close
}
