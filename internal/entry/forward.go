package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/peer"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

// maxVia limits how often a request is forwarded from one entry instance to another.
const maxVia = 2

// forward sends the request to an entry instance of another data centre and passes
// the answer on.
func (s *Server) forward(ctx context.Context, req *request, dataCentre string, answer *answerWriter) *refusal {
	name, address, ok := s.choosePeer(dataCentre, req)
	if !ok || len(req.Via) >= maxVia {
		refused := notRunRefusal(http.StatusServiceUnavailable, "no-open-group", "no entry instance of data centre %q can be reached", dataCentre).withRetryAfter(time.Second)
		refused.retryElsewhere = true
		return refused
	}
	s.counters.add("Forwarded", 1)
	s.log.WithFields(logrus.Fields{
		"request": req.ID, "account": req.Account, "instance": name, "data_centre": dataCentre, "reason": "Forward",
	}).Info("routing decision")
	err := s.peers.Forward(ctx, address, s.forwardRequest(req), func(chunk *peerpb.ForwardChunk) error {
		return writeForwardedChunk(chunk, answer)
	})
	if err == nil {
		return nil
	}
	var declined *peerRefusal
	if errors.As(err, &declined) {
		refused := notRunRefusal(http.StatusServiceUnavailable, declined.reason, "entry instance %q refused the request", name).withRetryAfter(declined.retryAfter)
		refused.retryElsewhere = true
		return refused
	}
	if errors.Is(err, errCutAtPeer) {
		refused := unknownRefusal("backend-lost", "entry instance %q reported that its answer is incomplete", name)
		refused.reportedByPeer = true
		return refused
	}
	refused := unknownRefusal("peer-lost", "entry instance %q did not send the complete answer: %v", name, err)
	refused.retryElsewhere = true
	return refused
}

func (s *Server) forwardRequest(req *request) *peerpb.ForwardRequest {
	out := &peerpb.ForwardRequest{
		RequestId:             req.ID,
		ClientAccount:         req.Account,
		Method:                req.Method,
		Path:                  req.Path,
		Body:                  req.Body,
		RemainingMilliseconds: time.Until(req.Deadline).Milliseconds(),
		Attempt:               int32(req.Attempt),
		Priority:              int32(req.Priority),
		Via:                   append(append([]string(nil), req.Via...), s.settings.Name),
	}
	header := passedHeader(req.Header)
	if key := req.Header.Get(headerIdempotencyKey); key != "" {
		header.Set(headerIdempotencyKey, key)
	}
	out.Headers = headersToProto(header)
	return out
}

// errCutAtPeer reports an incomplete answer. The entry instance that ran the request
// has already told the caller so within the answer.
var errCutAtPeer = errors.New("answer of the other entry instance is incomplete")

// peerRefusal reports that another entry instance did not run the request for lack
// of capacity, so that the request may be tried elsewhere.
type peerRefusal struct {
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (e *peerRefusal) Error() string { return e.reason }

// peerRefusalFrom returns the refusal that the head of a forwarded answer states, or
// nil.
func peerRefusalFrom(status int, header http.Header) error {
	if status != http.StatusServiceUnavailable || header.Get(headerOutcome) != outcomeNotRun.String() {
		return nil
	}
	after, err := retry.ParseRetryAfter(header.Get(headerRetryAfter), time.Now())
	if err != nil {
		after = 0
	}
	return &peerRefusal{reason: header.Get(headerReason), retryAfter: after}
}

// writeForwardedChunk writes one chunk of a forwarded answer to the caller.
func writeForwardedChunk(chunk *peerpb.ForwardChunk, answer *answerWriter) error {
	if chunk.GetStatus() != 0 {
		header := headerFromProto(chunk.GetHeaders())
		if err := peerRefusalFrom(int(chunk.GetStatus()), header); err != nil {
			return err
		}
		if err := answer.writeHead(int(chunk.GetStatus()), header); err != nil {
			return err
		}
	}
	if len(chunk.GetBody()) > 0 {
		if err := answer.WriteChunk(chunk.GetBody()); err != nil {
			return err
		}
	}
	if chunk.GetCut() {
		return errCutAtPeer
	}
	if chunk.GetEnd() {
		return answer.finish()
	}
	return nil
}

// handleForward runs a request that another entry instance forwarded.
func (s *Server) handleForward(ctx context.Context, in *peerpb.ForwardRequest, send func(*peerpb.ForwardChunk) error) error {
	out := &forwardedAnswer{send: send}
	done, refused := s.admit()
	if refused != nil {
		return refused.send(out.writer())
	}
	defer done()
	req := &request{
		ID:       in.GetRequestId(),
		Account:  in.GetClientAccount(),
		Method:   in.GetMethod(),
		Path:     in.GetPath(),
		Header:   headerFromProto(in.GetHeaders()),
		Body:     in.GetBody(),
		Deadline: time.Now().Add(time.Duration(in.GetRemainingMilliseconds()) * time.Millisecond),
		Priority: int(in.GetPriority()),
		Attempt:  int(in.GetAttempt()),
		Via:      in.GetVia(),
	}
	if req.visited(s.settings.Name) {
		return errors.Newf("request %q was handled by this entry instance before", req.ID)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ctx, stop := s.withShutdownCut(ctx)
	defer stop()
	heartbeatCtx, stopHeartbeats := context.WithCancel(ctx)
	defer stopHeartbeats()
	go out.sendHeartbeats(heartbeatCtx)
	answer := out.writer()
	s.serve(ctx, req, answer)
	if !out.isEnded() {
		return out.write(&peerpb.ForwardChunk{Cut: true})
	}
	return nil
}

// forwardedAnswer sends an answer to the entry instance that forwarded the request.
// Empty chunks in between serve as heartbeats.
type forwardedAnswer struct {
	send func(*peerpb.ForwardChunk) error

	mu       sync.Mutex
	sequence uint64
	endSent  bool
}

func (f *forwardedAnswer) writer() *answerWriter {
	return &answerWriter{
		WriteHead: func(status int, header http.Header) error {
			return f.write(&peerpb.ForwardChunk{Status: int32(status), Headers: headersToProto(header)})
		},
		WriteChunk: func(data []byte) error { return f.write(&peerpb.ForwardChunk{Body: data}) },
		WriteEnd:   func() error { return f.write(&peerpb.ForwardChunk{End: true}) },
	}
}

func (f *forwardedAnswer) write(chunk *peerpb.ForwardChunk) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endSent {
		return nil
	}
	f.sequence++
	f.endSent = chunk.GetEnd()
	chunk.Sequence = f.sequence
	return f.send(chunk)
}

func (f *forwardedAnswer) isEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endSent
}

// sendHeartbeats sends empty chunks until ctx ends, so that the other entry instance
// knows that the request is still being served.
func (f *forwardedAnswer) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(peer.ForwardHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.write(&peerpb.ForwardChunk{}) != nil {
				return
			}
		}
	}
}

func headersToProto(header http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range header {
		for _, value := range values {
			out = append(out, &peerpb.Header{Name: name, Value: value})
		}
	}
	return out
}

func headerFromProto(fields []*peerpb.Header) http.Header {
	header := http.Header{}
	for _, field := range fields {
		header.Add(field.GetName(), field.GetValue())
	}
	return header
}
