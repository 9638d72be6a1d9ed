package gateway

import (
	"net/http"
	"time"

	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// longWait is how long a write to a client may last before a backend server may break off its
// answer because nothing of it is read.
const longWait = time.Second

// clientWriter is the writer of an answer. It measures how long the client makes an attempt
// wait, which is no time of the backend server.
type clientWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	waited  time.Duration // in all writes
	longest time.Duration // in one write
}

func newClientWriter(w http.ResponseWriter) *clientWriter {
	return &clientWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

func (w *clientWriter) noteWrite(start time.Time) {
	d := time.Since(start)
	w.waited += d
	w.longest = max(w.longest, d)
}

// Write implements http.ResponseWriter.
func (w *clientWriter) Write(p []byte) (int, error) {
	defer w.noteWrite(time.Now())
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (w *clientWriter) FlushError() error {
	defer w.noteWrite(time.Now())
	return w.control.Flush()
}

// Unwrap is called by http.ResponseController.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// excuse returns the result that counts for the backend server. A failure after the client has
// made it wait for long may not be its own.
func (w *clientWriter) excuse(result dispatch.Result) dispatch.Result {
	if result == dispatch.Failed && w.longest >= longWait {
		return dispatch.Canceled
	}
	return result
}
