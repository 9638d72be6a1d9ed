package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/chicorystall/chicorystall/internal/clientconn"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	// callerWriteTimeout bounds one write to a caller.
	callerWriteTimeout = 2 * time.Minute
	// callerIdleTimeout is how long a caller's connection stays open without a
	// request.
	callerIdleTimeout = 2 * time.Minute
)

// callersHandler returns the handler of the callers' API and of the balancer's
// health and readiness checks.
func (s *Server) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /v1/models", s.authenticated(s.serveModels))
	mux.HandleFunc("POST /v1/chat/completions", s.authenticated(s.serveRequest))
	mux.HandleFunc("POST /v1/completions", s.authenticated(s.serveRequest))
	mux.HandleFunc("/services/{service}", func(w http.ResponseWriter, r *http.Request) {
		redirect(w, r, r.URL.EscapedPath()+"/")
	})
	mux.HandleFunc("/services/{service}/{path...}", s.authenticated(s.serveRequest))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, r, "", notRunRefusal(http.StatusNotFound, "no-such-path", "path %q is not served", r.URL.Path))
	})
	return s.withRequestID(mux)
}

// withRequestID gives each answer the ID of its request. It refuses requests whose
// header or ID is too large, and redirects requests whose path is not clean.
func (s *Server) withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		tooLong := len(id) > maxRequestIDBytes
		if id == "" || tooLong {
			id = uuid.NewString()
		}
		clientconn.Of(r).Begin(id)
		w = &stopWriter{ResponseWriter: w, draining: s.isDraining}
		r.Header.Set(headerRequestID, id)
		w.Header().Set(headerRequestID, id)
		limit := s.settings.Limits.MaxHeaderBytes
		switch {
		case tooLong:
			s.refuse(w, r, "", notRunRefusal(http.StatusBadRequest, "bad-header", "%s is longer than %d bytes", headerRequestID, maxRequestIDBytes))
		case headerBytes(r) > limit:
			s.refuse(w, r, "", notRunRefusal(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the request header is larger than %d bytes", limit))
		case cleanPath(r) != r.URL.EscapedPath():
			redirect(w, r, cleanPath(r))
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// cleanPath returns the request's path without empty and dot segments.
func cleanPath(r *http.Request) string {
	escaped := r.URL.EscapedPath()
	clean := path.Clean("/" + escaped)
	if strings.HasSuffix(escaped, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}

// redirect answers that the caller must send the request, which did not run, to
// another path.
func redirect(w http.ResponseWriter, r *http.Request, target string) {
	w.Header().Set(headerOutcome, outcomeNotRun.String())
	w.Header().Set(headerReason, "moved")
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	http.Redirect(w, r, target, http.StatusTemporaryRedirect)
}

// headerBytes returns the size of the request line and the header fields.
func headerBytes(r *http.Request) int {
	const separators = 4 // colon, space, CR and LF
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + separators
		}
	}
	return total
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// accountHandler serves a request of an authenticated client account.
type accountHandler func(w http.ResponseWriter, r *http.Request, account string)

// authenticated looks up the client account by the bearer key of the request. It
// refuses requests with an unknown key.
func (s *Server) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		account, known := s.accountByKey(key)
		if !found || !known {
			s.refuse(w, r, "", notRunRefusal(http.StatusUnauthorized, "unknown-account", "the bearer key belongs to no client account"))
			return
		}
		next(w, r, account)
	}
}

// modelList is the body of the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request, account string) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range s.modelsFor(account) {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: "chicorystall"})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, outcomeComplete.String())
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, account string) {
	done, refused := s.admit()
	if refused != nil {
		s.refuse(w, r, account, refused)
		return
	}
	defer done()

	req, refused := s.readRequest(w, r, account)
	if refused != nil {
		s.refuse(w, r, account, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	ctx, stop := s.withShutdownCut(ctx)
	defer stop()
	answer := callerAnswer(w, req.ID)
	s.serve(ctx, req, answer)
	if answer.started && !answer.ended {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller detects the incomplete answer
	}
}

// readRequest reads the complete request. Nothing is done for a request before its
// body is complete.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, account string) (*request, *refusal) {
	limits := s.settings.Limits
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(withoutStop(w), r.Body, int64(limits.MaxBodyBytes)))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})

	req := &request{
		ID:      r.Header.Get(headerRequestID),
		Account: account,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Header:  r.Header,
		Body:    body,
	}
	return req, s.readLimits(req)
}

func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the request body is larger than %d bytes", tooLarge.Limit)
	}
	return notRunRefusal(http.StatusRequestTimeout, "body-not-received", "the request body was not received completely in time")
}

// readLimits reads the attempt number, the deadline and the priority from the
// header.
func (s *Server) readLimits(req *request) *refusal {
	now := time.Now()
	attempt, err := retry.ParseAttempt(req.Header, now)
	if err != nil {
		return badRequest("%v", err)
	}
	attempt = attempt.WithDeadline(now.Add(s.settings.Limits.RequestTimeout))
	req.Attempt, req.Deadline = attempt.Number, attempt.Deadline
	if text := req.Header.Get(headerPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > 1 {
			return badRequest("%s %q is neither 0 (interactive) nor 1 (batch)", headerPriority, text)
		}
		req.Priority = priority
	}
	return nil
}

// callerAnswer returns a writer of the answer to an HTTP caller. The outcome of a
// streamed answer is a trailer field. The connection of an incomplete answer is
// closed, so that the caller can always tell it from a complete one.
func callerAnswer(w http.ResponseWriter, requestID string) *answerWriter {
	control := http.NewResponseController(w)
	return &answerWriter{
		WriteHead: func(status int, header http.Header) error {
			for name, values := range header {
				w.Header()[name] = values
			}
			w.Header().Set(headerRequestID, requestID)
			if header.Get(headerOutcome) == "" {
				w.Header().Set("Trailer", headerOutcome)
			}
			w.WriteHeader(status)
			return nil
		},
		WriteChunk: func(data []byte) error {
			_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
			if _, err := w.Write(data); err != nil {
				return err
			}
			return control.Flush()
		},
		WriteEnd: func() error {
			if w.Header().Get(headerOutcome) == "" {
				w.Header().Set(headerOutcome, outcomeComplete.String())
			}
			return nil
		},
	}
}

// refuse answers a request that was not read completely, and logs and counts the
// refusal.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, account string, refused *refusal) {
	req := &request{ID: r.Header.Get(headerRequestID), Account: account}
	s.refuseRequest(req, callerAnswer(w, req.ID), refused)
}
