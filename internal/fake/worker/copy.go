package worker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/chicorystall/chicorystall/internal/fake"
)

func (w *Worker) handleResume(p *process, rw http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("From"))
	if err != nil || from < 1 {
		refuse(rw, http.StatusBadRequest, fmt.Sprintf("From %q is not a chunk number", r.FormValue("From")))
		return
	}
	w.mu.Lock()
	j := p.jobs[r.PathValue("id")]
	if j != nil {
		p.identify(rw, j)
	}
	w.mu.Unlock()
	if j == nil {
		http.Error(rw, "no such answer", http.StatusNotFound)
		return
	}
	p.copyStream(rw, r, j, from)
}

func (w *Worker) handleCancel(p *process, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	j := p.jobs[r.PathValue("id")]
	if j != nil {
		p.remove(j)
		p.report()
	}
	w.mu.Unlock()
	if j == nil {
		http.Error(rw, "no such answer", http.StatusNotFound)
		return
	}
	fake.WriteJSON(rw, http.StatusOK, struct{}{})
}

// copyStream writes the answer's chunks from a number on, as they come.
func (p *process) copyStream(rw http.ResponseWriter, r *http.Request, j *job, from int) {
	defer p.reading(j)()
	faults := p.worker.takeStreamFaults()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(rw).Flush
	flush()
	for number := from; ; number++ {
		chunk := p.wait(r, j, number, func() {
			fmt.Fprint(rw, ": waiting\n\n")
			flush()
		})
		if faults.skips(number) {
			continue
		}
		faults.before(rw, number)
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", number, chunk)
		if flush() != nil || bytes.Equal(chunk, endMark) {
			return
		}
		faults.after(rw, r, number, chunk)
	}
}

// copyWhole writes the answer in one piece. White space before it keeps the
// connection from being silent.
func (p *process) copyWhole(rw http.ResponseWriter, r *http.Request, j *job) {
	defer p.reading(j)()
	faults := p.worker.takeStreamFaults()
	rw.Header().Set("Content-Type", "application/json")
	for number := 1; ; number++ {
		chunk := p.wait(r, j, number, func() {
			fmt.Fprint(rw, "\n")
			http.NewResponseController(rw).Flush()
		})
		if bytes.Equal(chunk, endMark) {
			break
		}
		faults.after(rw, r, number, chunk)
	}
	json.NewEncoder(rw).Encode(j.whole())
}

// wait returns a chunk once it is there. It cuts the connection when the
// process or the request ends first.
func (p *process) wait(r *http.Request, j *job, number int, heartbeat func()) []byte {
	w := p.worker
	for {
		if !w.waitThawed(p, r) {
			fake.AbortRequest()
		}
		w.mu.Lock()
		chunks, failed, changed := j.chunks, j.failed, j.changed
		faultsChanged := w.changed
		w.mu.Unlock()
		if number <= len(chunks) {
			return chunks[number-1]
		}
		finished := len(chunks) > 0 && bytes.Equal(chunks[len(chunks)-1], endMark)
		if failed || finished {
			fake.AbortRequest()
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-time.After(w.config.Heartbeat):
			heartbeat()
		case <-p.ctx.Done():
			fake.AbortRequest()
		case <-r.Context().Done():
			fake.AbortRequest()
		}
	}
}

// reading notes a reader of the answer and returns what ends it. An answer
// without readers is dropped after the resume window.
func (p *process) reading(j *job) (end func()) {
	w := p.worker
	w.mu.Lock()
	j.readers++
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		j.readers--
		if j.readers == 0 {
			time.AfterFunc(w.config.ResumeWindow, func() { p.dropUnread(j) })
		}
	}
}

func (p *process) dropUnread(j *job) {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.readers == 0 && p.ctx.Err() == nil {
		p.remove(j)
		p.report()
	}
}
