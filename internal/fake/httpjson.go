package fake

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes limits the JSON request bodies that the stand-ins accept.
const maxBodyBytes = 8 << 20

// ReadJSON decodes the JSON body of a request. If that fails, for example because of
// an unknown field, it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes a response with the status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// AbortRequest aborts the current request and closes its connection, without a response or
// in the middle of one. It must be called in the goroutine of the handler.
func AbortRequest() { panic(http.ErrAbortHandler) }
