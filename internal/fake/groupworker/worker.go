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

// eventsPerAnswer is the number of events of each stream.
const eventsPerAnswer = 8

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.isDead() {
		w.keepSilent(r)
		return
	}
	if path := r.URL.Path; w.has(EndlessControlAnswer) && (path == "/report" || path == "/order") {
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

func (w *Worker) has(fault Fault) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fault == fault
}

// answerEndless answers without end, with these header lines where the answer has some.
func (w *Worker) answerEndless(rw http.ResponseWriter, header string) {
	f := w.fleet
	f.mu.Lock()
	part, limit := w.part, f.EndlessBytes
	f.mu.Unlock()
	if limit == 0 {
		limit = endless.NoLimit
	}
	// The error is that of a peer that has closed.
	if err := part.Answer(rw, header, limit); err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped++
	}
}

// keepSilent holds a request until its sender gives it up.
func (w *Worker) keepSilent(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-w.fleet.closed:
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter) {
	w.fleet.mu.Lock()
	report := map[string]any{"seq": w.orders, "busy": false, "born": w.born}
	w.fleet.describe(w, report)
	w.fleet.mu.Unlock()
	// The asker may be gone; then it asks again.
	_ = json.NewEncoder(rw).Encode(report)
}

type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
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
	rw.WriteHeader(w.carryOut(o))
}

// carryOut carries an order out and returns its status. The fleet's lock is held.
func (w *Worker) carryOut(o order) int {
	f, g := w.fleet, w.group
	if o.Precondition != nil && *o.Precondition != w.orders {
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
		g.state, g.opens = "open", time.Now().Add(f.Times.Form)
		f.later(w, f.Times.Form)
	case o.Operation == "close" && g.rank == 0 && (g.state == "open" || g.state == "closing"):
		g.state = ""
	case o.Operation == "leave":
		w.group, status = nil, http.StatusOK
	default:
		return http.StatusConflict
	}
	w.orders++
	f.report(w)
	return status
}

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
			f.find("worker %s joined %s while the head %s of its group %s was %s", w.ID, o.Group, head.ID, g.name, head.group.state)
		}
	}
	took := f.Times.Load
	switch {
	case w.last == o.Model:
		took = f.Times.Hot
	case w.staged == o.Model:
		took = f.Times.Warm
	}
	w.group = &group{
		name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, w.ID), members: o.Members, model: o.Model, ready: time.Now().Add(took),
	}
	w.last, w.staged = o.Model, o.Model
	w.orders++
	f.report(w)
	f.later(w, took)
	return http.StatusAccepted
}

// later writes a worker's entry anew once its state has changed by itself.
func (f *Fleet) later(w *Worker, after time.Duration) {
	time.AfterFunc(after+time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			f.report(w)
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
	status, fault := w.begin(id, r.Header.Get("X-Expect-Instance"))
	if status != http.StatusOK {
		h.Set("X-Not-Run", "1")
		h.Set("X-Instance-Id", w.ID)
		rw.WriteHeader(status)
		return
	}
	switch fault {
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		w.keepSilent(r)
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
		io.WriteString(rw, body)
		if fault == Cut {
			panic(http.ErrAbortHandler)
		}
		return
	}
	w.stream(rw, r, fault)
}

// begin decides whether a request runs, and judges that.
func (w *Worker) begin(id, expected string) (int, Fault) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case expected != "" && expected != w.ID:
		return http.StatusMisdirectedRequest, None
	case w.fault == Refuse:
		return http.StatusServiceUnavailable, None
	case w.Domain == "":
	case w.group == nil || w.group.rank != 0:
		return http.StatusMisdirectedRequest, None
	case f.state(w) != "open":
		return http.StatusServiceUnavailable, None
	case len(w.group.members) != f.Sizes[w.group.model]:
		f.find("request %s ran in %s, which has %d members", id, w.group.name, len(w.group.members))
	}
	f.runs[id]++
	w.served++
	return http.StatusOK, w.fault
}

// stream writes numbered events, and stands still while the group isn't whole.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, fault Fault) {
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
			return
		case <-time.After(f.Times.Event):
		}
		if !w.wait(r, f.Times.Stall) {
			panic(http.ErrAbortHandler)
		}
		if fault == Cut && n > eventsPerAnswer/2 {
			io.WriteString(rw, "id: ")
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", n, n)
		if control.Flush() != nil {
			return
		}
	}
}

// wait waits until the group is whole and reports whether it was in time.
func (w *Worker) wait(r *http.Request, stall time.Duration) bool {
	f := w.fleet
	end := time.Now().Add(stall)
	for time.Now().Before(end) {
		f.mu.Lock()
		goes := w.group != nil && w.group.state == "open" && f.whole(w)
		closed := w.group == nil || w.group.state == ""
		f.mu.Unlock()
		if goes {
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
