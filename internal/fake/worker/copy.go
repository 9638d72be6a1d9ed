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
		refuse(rw, http.StatusBadRequest, fmt.Sprintf("From %q is not a positive chunk number", r.FormValue("From")))
		return
	}
	w.mu.Lock()
	j := p.jobs[r.PathValue("id")]
	if j != nil {
		p.setIdentityHeaders(rw, j)
	}
	w.mu.Unlock()
	if j == nil {
		http.Error(rw, "no answer for this request ID", http.StatusNotFound)
		return
	}
	p.writeStream(rw, r, j, from)
}

func (w *Worker) handleCancel(p *process, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	j := p.jobs[r.PathValue("id")]
	if j != nil {
		p.remove(j)
		p.recordState()
	}
	w.mu.Unlock()
	if j == nil {
		http.Error(rw, "no answer for this request ID", http.StatusNotFound)
		return
	}
	fake.WriteJSON(rw, http.StatusOK, struct{}{})
}

// writeStream writes the chunks of an answer as they are produced, starting with the
// chunk of the given number.
func (p *process) writeStream(rw http.ResponseWriter, r *http.Request, j *job, from int) {
	defer p.addReader(j)()
	faults := p.worker.nextStreamFaults()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(rw).Flush
	flush()
	for number := from; ; number++ {
		chunk := p.waitForChunk(r, j, number, func() {
			fmt.Fprint(rw, ": waiting\n\n")
			flush()
		})
		if faults.skips(number) {
			continue
		}
		faults.sendBefore(rw, number)
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", number, chunk)
		if flush() != nil || bytes.Equal(chunk, endMark) {
			return
		}
		faults.applyAfter(rw, r, number, chunk)
	}
}

// writeFullAnswer writes the answer as a single JSON value once it is complete. Until
// then it writes white space as a heartbeat, so that the connection is not idle.
func (p *process) writeFullAnswer(rw http.ResponseWriter, r *http.Request, j *job) {
	defer p.addReader(j)()
	faults := p.worker.nextStreamFaults()
	rw.Header().Set("Content-Type", "application/json")
	for number := 1; ; number++ {
		chunk := p.waitForChunk(r, j, number, func() {
			fmt.Fprint(rw, "\n")
			http.NewResponseController(rw).Flush()
		})
		if bytes.Equal(chunk, endMark) {
			break
		}
		faults.applyAfter(rw, r, number, chunk)
	}
	json.NewEncoder(rw).Encode(j.fullAnswer())
}

// waitForChunk returns a chunk once it is produced, and calls heartbeat while it waits.
// It aborts the connection if the process or the request ends first.
func (p *process) waitForChunk(r *http.Request, j *job, number int, heartbeat func()) []byte {
	w := p.worker
	for {
		if !w.waitUntilUnfrozen(p, r) {
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

// addReader counts a reader of the answer and returns a function that removes it. An
// answer without readers is dropped after the resume window.
func (p *process) addReader(j *job) (end func()) {
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
		p.recordState()
	}
}
