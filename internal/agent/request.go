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

// headerCallerTimeout is the header that gives the time until the caller's deadline, in
// milliseconds.
const headerCallerTimeout = "Request-Timeout-Ms"

// requestServer receives requests over HTTP. The Idempotency-Key header holds the
// request identifier, a UUID of version 7 (RFC 9562). Refusals have the headers
// Retry-After (RFC 9110) and Proxy-Status (RFC 9209).
type requestServer struct {
	agent  *Agent
	server *rest.Server

	activeHandlers sync.WaitGroup // running calls of handleRequest
	mutex          sync.Mutex     // guards the fields below
	lastHandle     uint64
	pending        map[uint64]chan wire.Answer // waiting callers by handle
}

// startRequestServer starts the HTTP server for requests if the settings give its address.
func (a *Agent) startRequestServer() error {
	a.requests = &requestServer{agent: a, pending: make(map[uint64]chan wire.Answer)}
	if a.Settings.Requests == "" {
		return nil
	}
	server, err := admin.NewHTTPServer(netip.MustParseAddrPort(a.Settings.Requests))
	if err != nil {
		return err
	}
	a.requests.server = server
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: "/:method", Handler: a.requests.handleRequest})
	go server.Start()
	return nil
}

// stopRequestServer waits until every caller has been answered and stops the HTTP
// server.
func (a *Agent) stopRequestServer() {
	a.requests.activeHandlers.Wait()
	if a.requests.server != nil {
		a.requests.server.Stop()
	}
}

// register adds a waiting caller. It returns the caller's handle and the channel that
// its answer arrives on.
func (s *requestServer) register() (uint64, chan wire.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastHandle++
	answers := make(chan wire.Answer, 1)
	s.pending[s.lastHandle] = answers
	return s.lastHandle, answers
}

// unregister removes a caller that no longer waits.
func (s *requestServer) unregister(handle uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, handle)
}

// deliver passes an answer to the waiting caller. The answer is ignored if the caller
// has already been answered or no longer waits.
func (s *requestServer) deliver(handle uint64, answer wire.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answers := s.pending[handle]; answers != nil {
		delete(s.pending, handle)
		answers <- answer
	}
}

// parseRequest reads a request from the HTTP message.
func (s *requestServer) parseRequest(r *http.Request, now clock.Millis) (wire.Request, error) {
	id, err := uuid.Parse(r.Header.Get("Idempotency-Key"))
	if err != nil {
		return wire.Request{}, errors.Wrap(err, "the Idempotency-Key must be a UUID of version 7")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return wire.Request{}, errors.Wrap(err, "read the request")
	}
	timeoutMs := int64(conf.DefaultDeadline)
	if text := r.Header.Get(headerCallerTimeout); text != "" {
		if timeoutMs, err = strconv.ParseInt(text, 10, 64); err != nil || timeoutMs <= 0 {
			return wire.Request{}, errors.Newf("%s must be a positive number of milliseconds", headerCallerTimeout)
		}
	}
	callerAddr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return wire.Request{}, errors.Wrap(err, "read the caller's address")
	}
	return wire.Request{
		ID: id, Method: pathvar.Vars(r)["method"], Params: body,
		Expires: now + clock.Millis(timeoutMs), Caller: flow.NewKey(callerAddr, callerAddr, 6), // protocol 6 is TCP
	}, nil
}

// handleRequest passes a request to the core and waits for the answer, at most until
// one second after the request's deadline.
func (s *requestServer) handleRequest(w http.ResponseWriter, r *http.Request) {
	request, err := s.parseRequest(r, s.agent.clock.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.activeHandlers.Add(1)
	defer s.activeHandlers.Done()
	handle, answers := s.register()
	defer s.unregister(handle)
	request.HTTPHandle = handle
	s.agent.host.Loop.Enqueue(func(now clock.Millis) []node.Action {
		// The service's deadline comes from the core, which may be called only here.
		limited := request
		limited.Expires = min(request.Expires, now+s.agent.core.Deadline())
		return s.agent.core.Request(now, limited)
	})
	ctx, cancel := context.WithTimeout(r.Context(), (request.Expires - s.agent.clock.Now() + clock.Second).Duration())
	defer cancel()
	select {
	case answer := <-answers:
		writeAnswer(w, answer)
	case <-ctx.Done():
		writeAnswer(w, wire.Answer{Outcome: wire.Unknown, Reason: "no answer before the deadline", RetryAfterMs: clock.Second})
	}
}

// refusal is the body of an answer without a result.
type refusal struct {
	Outcome      string
	Reason       string
	RetryAfterMs clock.Millis
}

// writeAnswer sends the answer to a caller. Status 503 means that the request was not
// run, 504 that it is not known whether it ran.
func writeAnswer(w http.ResponseWriter, answer wire.Answer) {
	w.Header().Set("Content-Type", "application/json")
	if answer.Outcome == wire.Done {
		_, _ = w.Write(answer.Result)
		return
	}
	status, proxyError := http.StatusGatewayTimeout, "connection_terminated"
	if answer.Outcome == wire.NotRun {
		status, proxyError = http.StatusServiceUnavailable, "destination_unavailable"
	}
	seconds := (answer.RetryAfterMs + clock.Second - 1) / clock.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	w.Header().Set("Proxy-Status", "dogwoodlanding; error="+proxyError)
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(refusal{answer.Outcome.String(), answer.Reason, answer.RetryAfterMs})
}
