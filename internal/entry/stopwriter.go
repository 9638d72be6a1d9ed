package entry

import "net/http"

// stopWriter tells callers, in answers whose heads are written during a shutdown, that
// their connection will be closed.
type stopWriter struct {
	http.ResponseWriter
	draining func() bool
	began    bool // the head was written
}

func (w *stopWriter) begin() {
	if !w.began && w.draining() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}

// WriteHeader implements http.ResponseWriter.
func (w *stopWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *stopWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (w *stopWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *stopWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withoutStop returns the writer that http.MaxBytesReader needs, since it tells net/http's
// own writer of a body that is too large.
func withoutStop(w http.ResponseWriter) http.ResponseWriter {
	if stop, ok := w.(*stopWriter); ok {
		return stop.ResponseWriter
	}
	return w
}
