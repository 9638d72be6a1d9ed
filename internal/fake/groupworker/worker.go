package groupworker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake/endless"
)

// eventsPerAnswer is the number of events in each stream.
const eventsPerAnswer = 8

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.isDead() {
		w.holdUntilCanceled(r)
		return
	}
	if path := r.URL.Path; path == "/report" || path == "/order" || path == "/health" {
		w.awaitSilence(r)
	}
	if path := r.URL.Path; w.hasFault(EndlessControlAnswer) && (path == "/report" || path == "/order") {
		w.answerEndless(rw, "")
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		w.serveReport(rw)
	case "POST /order":
		w.serveOrder(rw, r)
	case "GET /health":
		rw.Header().Set("X-Instance-Id", w.ID)
	default:
		w.serveRequest(rw, r)
	}
}

func (w *Worker) isDead() bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.dead
}

// awaitSilence waits until the worker is not silent, or the sender cancels the request.
func (w *Worker) awaitSilence(r *http.Request) {
	for {
		w.fleet.mu.Lock()
		d := time.Until(w.silentUntil)
		w.fleet.mu.Unlock()
		if d <= 0 {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(d):
		}
	}
}

func (w *Worker) hasFault(fault Fault) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fault == fault
}

// answerEndless sends an endless answer. The header lines are included
// if the endless part comes after the status line.
func (w *Worker) answerEndless(rw http.ResponseWriter, header string) {
	f := w.fleet
	f.mu.Lock()
	part, limit := w.endlessPart, f.EndlessBytes
	f.mu.Unlock()
	if limit == 0 {
		limit = endless.NoLimit
	}
	// An error means that the caller closed the connection before the limit.
	if err := part.Answer(rw, header, limit); err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endlessCompleted++
	}
}

// holdUntilCanceled leaves a request unanswered until its sender cancels it or the
// fleet is closed.
func (w *Worker) holdUntilCanceled(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-w.fleet.closed:
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter) {
	w.fleet.mu.Lock()
	report := map[string]any{"seq": w.orderSeq, "busy": false, "born": w.startTimeMs}
	w.fleet.addGroupFields(w, report)
	w.fleet.mu.Unlock()
	// The error is ignored: a caller that has disconnected asks again.
	_ = json.NewEncoder(rw).Encode(report)
}

// order is an order of a keeper to a worker.
type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	CloseMode    string   `json:"close-mode"`
	Precondition *int64   `json:"precondition"`
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		rw.Header().Set("X-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	rw.WriteHeader(w.executeOrder(o))
}

// executeOrder carries an order out and returns the HTTP status. The caller holds
// the fleet's lock.
func (w *Worker) executeOrder(o order) int {
	f, g := w.fleet, w.group
	if o.Precondition != nil && *o.Precondition != w.orderSeq {
		return http.StatusConflict
	}
	if o.Operation == "join" {
		return w.join(o)
	}
	if g == nil || g.name != o.Group || g.epoch != o.Epoch {
		return http.StatusConflict
	}
	status := http.StatusAccepted
	switch state := f.state(w); {
	case o.Operation == "open" && g.rank == 0 && state == "ready" && g.state == "":
		g.state, g.openAt = "open", time.Now().Add(f.Times.Form)
		f.scheduleEntryWrite(w, f.Times.Form)
	case o.Operation == "close" && g.rank == 0 && (g.state == "open" || g.state == "closing"):
		g.state = ""
		if o.CloseMode != "cancel" && w.running > 0 {
			g.state = "closing"
		}
	case o.Operation == "leave":
		w.group, status = nil, http.StatusOK
	default:
		return http.StatusConflict
	}
	w.orderSeq++
	f.writeEntry(w)
	return status
}

// join carries out an order to join a group. It records a violation if the head of
// the worker's current group is open or closing, since that head could still run
// requests. The caller holds the fleet's lock.
func (w *Worker) join(o order) int {
	f := w.fleet
	if g := w.group; g != nil && o.Epoch < g.epoch {
		return http.StatusPreconditionFailed
	}
	if g := w.group; g != nil && g.name == o.Group && g.epoch == o.Epoch {
		if slices.Equal(g.members, o.Members) {
			return http.StatusOK
		}
		return http.StatusPreconditionFailed
	}
	if g := w.group; g != nil && g.name != o.Group {
		if head := f.workers[g.members[0]]; head != nil && !head.dead && head.group != nil && head.group.name == g.name &&
			head.group.epoch == g.epoch && head.group.state != "" {
			f.addViolation("worker %s joined group %s while head %s of its group %s was %s", w.ID, o.Group, head.ID, g.name, head.group.state)
		}
	}
	joinDuration := f.Times.Load
	switch {
	case w.lastModel == o.Model:
		joinDuration = f.Times.Hot
	case w.stagedModel == o.Model:
		joinDuration = f.Times.Warm
	}
	w.group = &group{
		name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, w.ID), members: o.Members, model: o.Model, joinedAt: time.Now().Add(joinDuration),
	}
	w.lastModel, w.stagedModel = o.Model, o.Model
	w.orderSeq++
	f.writeEntry(w)
	f.scheduleEntryWrite(w, joinDuration)
	return http.StatusAccepted
}

// scheduleEntryWrite writes a worker's entry after the delay, at the end of which
// the worker's state changes without a further order.
func (f *Fleet) scheduleEntryWrite(w *Worker, delay time.Duration) {
	time.AfterFunc(delay+time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			f.writeEntry(w)
		}
	})
}

func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := rw.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	status, fault, limit := w.admitRequest(id, r.Header.Get("X-Expect-Instance"))
	if limit != "" {
		h.Set("Server-Limit", limit)
	}
	if status == http.StatusOK {
		defer w.finishRequest()
	}
	outcome := BrokenOff
	if observe := w.fleet.OnArrival; observe != nil {
		ended := observe(Arrival{Worker: w.ID, Service: w.Service, Request: id, Ran: status == http.StatusOK})
		defer func() {
			if outcome != Completed && r.Context().Err() != nil {
				outcome = Canceled
			}
			ended(outcome)
		}()
	}
	w.awaitSilence(r)
	if status != http.StatusOK {
		h.Set("X-Not-Run", "1")
		h.Set("X-Instance-Id", w.ID)
		rw.WriteHeader(status)
		outcome = Completed
		return
	}
	switch fault {
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		w.holdUntilCanceled(r)
		return
	case Endless:
		w.answerEndless(rw, "X-Request-Id: "+id+"\r\nX-Response-Stamp: signed-by-"+w.ID+"\r\n")
		return
	}
	h.Set("X-Response-Stamp", "signed-by-"+w.ID)
	if w.Domain == "" {
		body := fmt.Sprintf("%s of %s for %s", r.Method, w.ID, r.Header.Get("X-Tenant"))
		if fault == Cut {
			h.Set("Content-Length", strconv.Itoa(2*len(body)))
		}
		time.Sleep(w.fleet.Times.Answer)
		w.awaitSilence(r)
		io.WriteString(rw, body)
		if fault == Cut {
			panic(http.ErrAbortHandler)
		}
		outcome = Completed
		return
	}
	if w.stream(rw, r, fault) {
		outcome = Completed
	}
}

// admitRequest decides whether a request runs, and returns the HTTP status, the
// fault to apply and the limit to name. It records a violation if the request runs in a group with the
// wrong number of members.
func (w *Worker) admitRequest(id, expected string) (status int, fault Fault, limit string) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case expected != "" && expected != w.ID:
		return http.StatusMisdirectedRequest, None, w.limit
	case w.fault == Refuse:
		return http.StatusServiceUnavailable, None, w.limit
	case w.Domain == "":
	case w.group == nil || w.group.rank != 0:
		return http.StatusMisdirectedRequest, None, w.limit
	case f.state(w) != "open":
		return http.StatusServiceUnavailable, None, w.limit
	case len(w.group.members) != f.Sizes[w.group.model]:
		f.addViolation("request %s ran in group %s, which has %d members", id, w.group.name, len(w.group.members))
	}
	f.runs[id]++
	w.served++
	w.running++
	return http.StatusOK, w.fault, w.limit
}

// finishRequest counts a request that no longer runs. A head that closes has closed with
// the last one.
func (w *Worker) finishRequest() {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.running--; w.running == 0 && w.group != nil && w.group.state == "closing" {
		w.group.state = ""
		f.writeEntry(w)
	}
}

// stream writes numbered events, starting after the Last-Event-Id of the request. It
// stalls while a member of the group is missing. It reports whether all were written.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, fault Fault) bool {
	f := w.fleet
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	control := http.NewResponseController(rw)
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for n := from + 1; n <= eventsPerAnswer; n++ {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(f.Times.Event):
		}
		w.awaitSilence(r)
		if !w.waitUntilComplete(r, f.Times.Stall) {
			panic(http.ErrAbortHandler)
		}
		if fault == Cut && n > eventsPerAnswer/2 {
			io.WriteString(rw, "id: ")
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", n, n)
		if control.Flush() != nil {
			return false
		}
	}
	return true
}

// waitUntilComplete waits until the group is complete. It returns false if that takes
// longer than the stall timeout, the group closes, or the request is canceled.
func (w *Worker) waitUntilComplete(r *http.Request, stall time.Duration) bool {
	f := w.fleet
	deadline := time.Now().Add(stall)
	for time.Now().Before(deadline) {
		f.mu.Lock()
		serving := w.group != nil && w.group.state != "" && f.isComplete(w)
		closed := w.group == nil || w.group.state == ""
		f.mu.Unlock()
		if serving {
			return true
		}
		if closed {
			return false
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(f.Times.Event):
		}
	}
	return false
}
