package fake

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds the JSON bodies that the stand-ins read.
const maxBodyBytes = 8 << 20

// ReadJSON decodes a request's JSON body. On failure it answers 400 and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// AbortRequest closes the request's connection without an answer, or in the middle of
// one.
func AbortRequest() { panic(http.ErrAbortHandler) }
