package agent_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/internal/agent"
	"dogwoodlanding.example/dogwood/internal/fakes/plat"
	"dogwoodlanding.example/dogwood/internal/peer"
	"dogwoodlanding.example/dogwood/internal/setup"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// configTemplate is a configuration file with HOST in place of the server's address.
const configTemplate = `{
  "Owner": "test",
  "DataCentres": [{"Name": "north"}],
  "Services": [{"Name": "desk", "Address": "127.81.9.1", "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Requests"}], "NonIdempotent": ["hold"], "DeadlineMs": 3000}],
  "BackendServers": [{"Name": "desk-1", "Host": "HOST", "DataCentre": "north", "Service": "desk", "Slots": 4, "Connections": 100}]
}`

// fakeServer is a backend server whose runs can be slow, or end without an answer.
type fakeServer struct {
	runs        atomic.Int32
	runTime     time.Duration
	abortAnswer bool
	started     chan struct{}
}

func (b *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		_, _ = io.WriteString(w, `{"Instance": "one"}`)
	case r.URL.Path == "/flows":
		_, _ = io.WriteString(w, `[]`)
	default:
		b.runs.Add(1)
		b.started <- struct{}{}
		time.Sleep(b.runTime)
		if b.abortAnswer {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `"whole answer"`)
	}
}

// fixture is an agent with its backend server.
type fixture struct {
	backend   *fakeServer
	url       string
	stop      context.CancelFunc
	runResult chan error
}

// startAgent runs an agent on the given loopback address and waits until it is ready.
func startAgent(t *testing.T, host string, b *fakeServer) *fixture {
	t.Helper()
	b.started = make(chan struct{}, 16)
	platform := new(plat.Platform)
	platform.Apply(plat.Publish{Files: []peer.PlatformFile{{Name: "1.json", Content: strings.Replace(configTemplate, "HOST", host, 1)}}})
	platformServer := httptest.NewServer(platform.Handler())
	backendServer := httptest.NewServer(b)
	settings := setup.Agent{
		Process: setup.Process{
			Name: "desk-1", DataCentre: "north", Host: host, Platform: platformServer.URL,
			Timing: setup.Timing{StartupWaitMs: 200, SkewMs: 100, HoldMs: 100},
		},
		Server:   setup.Server{Packets: host + ":6090", URL: backendServer.URL},
		Requests: host + ":8081",
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{b, "http://" + settings.Requests + "/hold", cancel, make(chan error, 1)}
	a := &agent.Agent{Settings: settings, Log: log.New(io.Discard)}
	go func() { f.runResult <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		platformServer.CloseClientConnections()
		platformServer.Close()
		backendServer.Close()
	})
	f.awaitReady(t, host)
	return f
}

func (f *fixture) awaitReady(t *testing.T, host string) {
	t.Helper()
	for range 100 {
		response, err := http.Get("http://" + host + ":6083/health")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				time.Sleep(500 * time.Millisecond) // the agent refuses identifiers made before its start
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the agent is not ready after 5 s")
}

// sendRequest sends a request for the non-idempotent method hold.
func (f *fixture) sendRequest(t *testing.T, id uuid.UUID) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.url, strings.NewReader(`{}`))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", id.String())
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

func newID(t *testing.T) uuid.UUID {
	t.Helper()
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	return id
}

// A graceful stop must let a running request finish and deliver its answer.
func TestGracefulStopFinishesRunningRequest(t *testing.T) {
	f := startAgent(t, "127.81.1.1", &fakeServer{runTime: 700 * time.Millisecond})
	answer := make(chan string)
	go func() {
		response, body := f.sendRequest(t, newID(t))
		answer <- response.Status + " " + body
	}()
	select {
	case <-f.backend.started:
	case text := <-answer:
		t.Fatalf("answered before it ran: %s", text)
	}
	f.stop()
	assert.Equal(t, <-answer, `200 OK "whole answer"`)
	assert.NilError(t, <-f.runResult)
}

// A request whose answer is lost may have run. It must not be sent to the server again,
// and the answer to the caller must say that the outcome is unknown and when to retry.
func TestLostAnswerIsUnknownAndNotResent(t *testing.T) {
	f := startAgent(t, "127.81.1.2", &fakeServer{abortAnswer: true})
	id := newID(t)
	for range 2 {
		response, body := f.sendRequest(t, id)
		assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout, body)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Assert(t, strings.HasPrefix(response.Header.Get("Proxy-Status"), "dogwoodlanding; error="))
		var refusal struct{ Outcome string }
		assert.NilError(t, json.Unmarshal([]byte(body), &refusal))
		assert.Equal(t, refusal.Outcome, "Unknown")
	}
	assert.Equal(t, f.backend.runs.Load(), int32(1))
}

// A copy of a request that has run must get the stored answer without a second run.
func TestCopyGetsStoredAnswer(t *testing.T) {
	f := startAgent(t, "127.81.1.3", &fakeServer{})
	id := newID(t)
	for range 3 {
		response, body := f.sendRequest(t, id)
		assert.Equal(t, response.StatusCode, http.StatusOK, body)
	}
	assert.Equal(t, f.backend.runs.Load(), int32(1))
}
