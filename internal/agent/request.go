package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"dogwoodlanding.example/dogwood/internal/admin"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
)

// headerTimeLeft is the caller's deadline as a delay in milliseconds.
const headerTimeLeft = "Request-Timeout-Ms"

// requestServer takes requests by HTTP. The Idempotency-Key field holds the identifier
// (RFC 9562, version 7); refusals carry Retry-After (RFC 9110) and Proxy-Status
// (RFC 9209).
type requestServer struct {
	agent  *Agent
	server *rest.Server

	writing sync.WaitGroup // callers that are being answered
	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan wire.Answer
}

// openRequests serves requests by HTTP if the settings ask for it.
func (a *Agent) openRequests() error {
	a.requests = &requestServer{agent: a, waiting: make(map[uint64]chan wire.Answer)}
	if a.Settings.Requests == "" {
		return nil
	}
	server, err := admin.NewServer(netip.MustParseAddrPort(a.Settings.Requests))
	if err != nil {
		return err
	}
	a.requests.server = server
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: "/:method", Handler: a.requests.handle})
	go server.Start()
	return nil
}

// closeRequests waits until every caller has its answer.
func (a *Agent) closeRequests() {
	a.requests.writing.Wait()
	if a.requests.server != nil {
		a.requests.server.Stop()
	}
}

// enter registers a waiting caller.
func (s *requestServer) enter() (uint64, chan wire.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	answers := make(chan wire.Answer, 1)
	s.waiting[s.next] = answers
	return s.next, answers
}

func (s *requestServer) leave(handle uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, handle)
}

// answer wakes a waiting caller. An answer that comes twice is ignored.
func (s *requestServer) answer(handle uint64, answer wire.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answers := s.waiting[handle]; answers != nil {
		delete(s.waiting, handle)
		answers <- answer
	}
}

// parse reads a request's fields.
func (s *requestServer) parse(r *http.Request, now clock.Millis) (wire.Request, error) {
	id, err := uuid.Parse(r.Header.Get("Idempotency-Key"))
	if err != nil {
		return wire.Request{}, errors.Wrap(err, "the Idempotency-Key must be a UUID of version 7")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxResult))
	if err != nil {
		return wire.Request{}, errors.Wrap(err, "read the request")
	}
	left := int64(conf.DefaultDeadline)
	if text := r.Header.Get(headerTimeLeft); text != "" {
		if left, err = strconv.ParseInt(text, 10, 64); err != nil || left <= 0 {
			return wire.Request{}, errors.Newf("%s must be a positive number of milliseconds", headerTimeLeft)
		}
	}
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return wire.Request{}, errors.Wrap(err, "read the caller's address")
	}
	return wire.Request{
		ID: id, Method: pathvar.Vars(r)["method"], Params: body,
		Expires: now + clock.Millis(left), Caller: flow.NewKey(peer, peer, 6),
	}, nil
}

func (s *requestServer) handle(w http.ResponseWriter, r *http.Request) {
	request, err := s.parse(r, s.agent.clock.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.writing.Add(1)
	defer s.writing.Done()
	handle, answers := s.enter()
	defer s.leave(handle)
	request.HTTPHandle = handle
	s.agent.host.Loop.Put(func(now clock.Millis) []node.Action {
		limited := request
		limited.Expires = min(request.Expires, now+s.agent.core.Deadline())
		return s.agent.core.Request(now, limited)
	})
	ctx, cancel := context.WithTimeout(r.Context(), (request.Expires - s.agent.clock.Now() + clock.Second).Duration())
	defer cancel()
	select {
	case answer := <-answers:
		write(w, answer)
	case <-ctx.Done():
		write(w, wire.Answer{Outcome: wire.Unknown, Reason: "no answer before the deadline", RetryAfterMs: clock.Second})
	}
}

// refusal is the body of an answer that is not a result.
type refusal struct {
	Outcome      string
	Reason       string
	RetryAfterMs clock.Millis
}

// write answers a caller. 503 says that the request was not run, 504 that its
// outcome is unknown.
func write(w http.ResponseWriter, answer wire.Answer) {
	w.Header().Set("Content-Type", "application/json")
	if answer.Outcome == wire.Done {
		_, _ = w.Write(answer.Result)
		return
	}
	status, kind := http.StatusGatewayTimeout, "connection_terminated"
	if answer.Outcome == wire.NotRun {
		status, kind = http.StatusServiceUnavailable, "destination_unavailable"
	}
	seconds := (answer.RetryAfterMs + clock.Second - 1) / clock.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	w.Header().Set("Proxy-Status", "dogwoodlanding; error="+kind)
	w.WriteHeader(status)
	// The caller has gone if this fails.
	_ = json.NewEncoder(w).Encode(refusal{answer.Outcome.String(), answer.Reason, answer.RetryAfterMs})
}
