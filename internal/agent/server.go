package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/cockroachdb/errors"
)

// Headers between an agent and its backend server.
const (
	headerServerInstance = "Server-Instance" // changes at each start of the server
	headerRequestID      = "Request-Id"      // not Idempotency-Key, with which net/http may resend a request
	headerRequestCopy    = "Request-Copy"
	headerRunTimeout     = "Request-Timeout-Ms"
)

// maxBodyBytes bounds the body of a request received over HTTP and the result of a run.
const maxBodyBytes = 48_000

// pollTimeout bounds one read of a page of the server.
const pollTimeout = time.Second

// backendClient sends requests to the local server and reads its pages.
type backendClient struct {
	url    string
	client *http.Client
}

func newBackendClient(url string) *backendClient {
	// Each request uses a new connection: net/http resends requests only on reused
	// connections, and a request that is resent could run twice.
	transport := &http.Transport{DisableKeepAlives: true}
	return &backendClient{url, &http.Client{Transport: transport}}
}

// run runs a request on the server and measures the latency. A request past its
// deadline is not sent.
func (b *backendClient) run(ctx context.Context, c clock.Clock, request wire.Request) node.ServerAnswer {
	start := c.Now()
	if start >= request.Expires {
		return node.ServerAnswer{Kind: node.Unsent}
	}
	answer := b.post(ctx, request, request.Expires-start)
	answer.Latency = c.Now() - start
	return answer
}

// post sends a request to the server, waits for at most the timeout and classifies the
// outcome.
func (b *backendClient) post(ctx context.Context, request wire.Request, timeout clock.Millis) node.ServerAnswer {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/run/"+request.Method, io.NopCloser(bytes.NewReader(request.Params)))
	if err != nil {
		return node.ServerAnswer{Kind: node.Unsent}
	}
	httpRequest.Header.Set(headerRequestID, request.ID.String())
	httpRequest.Header.Set(headerRequestCopy, strconv.Itoa(request.Copy))
	httpRequest.Header.Set(headerRunTimeout, strconv.FormatInt(int64(timeout), 10))
	response, err := b.client.Do(httpRequest)
	if err != nil {
		return node.ServerAnswer{Kind: classifyError(err)}
	}
	defer response.Body.Close()
	instance := response.Header.Get(headerServerInstance)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return node.ServerAnswer{Kind: node.Shed, Instance: instance}
	case err != nil || response.StatusCode != http.StatusOK || len(body) > maxBodyBytes:
		return node.ServerAnswer{Kind: node.Lost, Instance: instance}
	}
	return node.ServerAnswer{Kind: node.Ran, Result: body, Instance: instance}
}

// classifyError returns Unsent if no connection was made, so that nothing was sent, and
// Lost for all other errors.
func classifyError(err error) node.AnswerKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return node.Unsent
	}
	return node.Lost
}

// health is the content of the server's health page.
type health struct {
	Instance string
	Draining bool
}

// flowRow is one row of the server's connection table.
type flowRow struct {
	Source   string
	Target   string
	Protocol uint8
}

// fetchHealth reads the server's health page.
func (b *backendClient) fetchHealth(ctx context.Context) (health, error) {
	var out health
	return out, b.getJSON(ctx, "/health", &out)
}

// fetchConnectionTable returns the flows in the server's connection table.
func (b *backendClient) fetchConnectionTable(ctx context.Context) ([]flow.Key, error) {
	var rows []flowRow
	if err := b.getJSON(ctx, "/flows", &rows); err != nil {
		return nil, err
	}
	keys := make([]flow.Key, 0, len(rows))
	for _, row := range rows {
		source, err := netip.ParseAddrPort(row.Source)
		if err != nil {
			return nil, errors.Wrap(err, "read connection table")
		}
		target, err := netip.ParseAddrPort(row.Target)
		if err != nil {
			return nil, errors.Wrap(err, "read connection table")
		}
		keys = append(keys, flow.NewKey(source, target, row.Protocol))
	}
	return keys, nil
}

// getJSON reads a page of the server and decodes it into result.
func (b *backendClient) getJSON(ctx context.Context, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+path, nil)
	if err != nil {
		return errors.Wrapf(err, "create request for %s", path)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "get the server's %s", path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the server's %s returned status %s", path, response.Status)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(result), "decode the server's %s", path)
}
