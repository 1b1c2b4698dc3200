package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"reflect"
	"sort"
	"strings"
	"sync/atomic"
	"time"
	"unicode"

	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/invar"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
)

// coreTimeout bounds the time that a page waits for the core's answer.
const coreTimeout = 2 * time.Second

// forceQuitDelay is the time from a signal until the web framework kills the process. It
// is this long so that a draining process is not killed.
const forceQuitDelay = 24 * time.Hour

// invariantViolations counts the violated invariants of this process.
var invariantViolations atomic.Uint64

// Pages is the HTTP server for the pages of one process. Set the exported fields before
// Start.
type Pages struct {
	Host              netip.Addr
	State             func(ctx context.Context) (State, error)
	History           func(ctx context.Context) ([]spread.Record, error)
	DeclaredProcesses func(ctx context.Context) ([]Declared, error)

	server *rest.Server
}

// SetUpProcess makes the web framework log only errors, to logger, and makes violated
// invariants logged and counted. Call it before a server is created.
func SetUpProcess(logger *log.Logger) {
	logx.DisableStat()
	// Without this call the framework's first server would replace the writer.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Encoding: "plain"}); err != nil {
		logger.Warn("web framework's log not set up", "err", err)
	}
	logx.SetWriter(frameworkLog{logger})
	proc.SetTimeToForceQuit(forceQuitDelay)
	invar.SetHandler(func(name string) {
		invariantViolations.Add(1)
		logger.Error("invariant violated", "name", name)
	})
}

// ViolationCount returns the number of violated invariants of this process.
func ViolationCount() uint64 { return invariantViolations.Load() }

// NewHTTPServer returns an HTTP server of the web framework, without the framework's
// proxy, service discovery and load shedding.
func NewHTTPServer(addr netip.AddrPort) (*rest.Server, error) {
	var c rest.RestConf
	c.Name = "dogwood"
	c.Log.Mode = "console"
	c.Log.Encoding = "plain"
	c.Host = addr.Addr().String()
	c.Port = int(addr.Port())
	c.Middlewares.Recover = true
	c.Middlewares.MaxBytes = true
	c.MaxBytes = conf.MaxFileBytes
	server, err := rest.NewServer(c)
	return server, errors.Wrapf(err, "prepare HTTP server on %s", addr)
}

// Start serves the pages on a new goroutine.
func (p *Pages) Start() error {
	server, err := NewHTTPServer(netip.AddrPortFrom(p.Host, conf.AdminPort))
	if err != nil {
		return err
	}
	p.server = server
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/health", Handler: p.health},
		{Method: http.MethodGet, Path: "/state", Handler: p.state},
		{Method: http.MethodGet, Path: "/history", Handler: func(w http.ResponseWriter, r *http.Request) { writeList(w, r, p.History) }},
		{Method: http.MethodGet, Path: "/hosts", Handler: func(w http.ResponseWriter, r *http.Request) { writeList(w, r, p.DeclaredProcesses) }},
		{Method: http.MethodGet, Path: "/metrics", Handler: p.metrics},
	})
	go server.Start()
	return nil
}

// Stop stops the server.
func (p *Pages) Stop() { p.server.Stop() }

// withState calls f with the state of the process, or answers with status 503 if the
// state cannot be read.
func (p *Pages) withState(w http.ResponseWriter, r *http.Request, f func(State)) {
	ctx, cancel := context.WithTimeout(r.Context(), coreTimeout)
	defer cancel()
	state, err := p.State(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	f(state)
}

// health answers with status 200 if the process is ready, or else with 503.
func (p *Pages) health(w http.ResponseWriter, r *http.Request) {
	p.withState(w, r, func(s State) {
		if !s.Ready {
			http.Error(w, "not ready: no configuration is in force yet", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, map[string]any{"Ready": true, "Revision": s.Revision})
	})
}

func (p *Pages) state(w http.ResponseWriter, r *http.Request) {
	p.withState(w, r, func(s State) { writeJSON(w, s) })
}

// writeList writes the items that read returns as JSON, or answers with status 503 if
// read fails.
func writeList[T any](w http.ResponseWriter, r *http.Request, read func(context.Context) ([]T, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), coreTimeout)
	defer cancel()
	items, err := read(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, items)
}

func (p *Pages) metrics(w http.ResponseWriter, r *http.Request) {
	p.withState(w, r, func(s State) {
		metrics.WriteProcessMetrics(w)
		WriteMetrics(w, s)
	})
}

// WriteMetrics writes the metrics of a state in the Prometheus text format.
func WriteMetrics(w io.Writer, s State) {
	prefix := "dogwood_" + s.Role + "_"
	names := make([]string, 0, len(s.Counts))
	for name := range s.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		metrics.WriteCounterUint64(w, prefix+snakeCase(name)+"_total", s.Counts[name])
	}
	metrics.WriteGaugeUint64(w, "dogwood_revision", s.Revision)
	metrics.WriteGaugeUint64(w, "dogwood_revision_seen", s.Seen)
	metrics.WriteGaugeUint64(w, "dogwood_ready", boolGauge(s.Ready))
	metrics.WriteGaugeUint64(w, "dogwood_leased", boolGauge(s.Leased))
	metrics.WriteGaugeUint64(w, "dogwood_flows_held", uint64(s.FlowsHeld))
	metrics.WriteGaugeUint64(w, "dogwood_request_limit", uint64(s.RequestLimit))
	metrics.WriteGaugeUint64(w, "dogwood_cold", boolGauge(s.Cold))
	metrics.WriteGaugeUint64(w, "dogwood_draining", boolGauge(s.Draining))
	metrics.WriteGaugeUint64(w, "dogwood_claims_in_doubt", uint64(s.ClaimsInDoubt))
	metrics.WriteCounterUint64(w, "dogwood_control_sent_bytes_total", s.ControlSentBytes)
	metrics.WriteCounterUint64(w, "dogwood_control_received_bytes_total", s.ControlReceivedBytes)
	metrics.WriteCounterUint64(w, "dogwood_stale_reads_total", uint64(s.Alarms.StaleReads))
	metrics.WriteCounterUint64(w, "dogwood_configuration_conflicts_total", uint64(s.Alarms.Conflicts))
	metrics.WriteCounterUint64(w, "dogwood_configuration_rejected_total", uint64(s.Alarms.Rejected))
	metrics.WriteCounterUint64(w, "dogwood_dropped_events_total", s.DroppedEvents)
	metrics.WriteCounterUint64(w, "dogwood_dropped_packets_total", s.DroppedPackets)
	metrics.WriteCounterUint64(w, "dogwood_invariant_violations_total", s.InvariantViolations)
}

// boolGauge returns the value of a gauge that is 1 for true and 0 for false.
func boolGauge(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

// snakeCase converts a Go field name to the snake case of metric names.
func snakeCase(name string) string {
	var b strings.Builder
	for i, c := range name {
		if unicode.IsUpper(c) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

// CounterMap returns the fields of a struct of counters by field name. All fields must
// be unsigned integers.
func CounterMap(counts any) map[string]uint64 {
	v := reflect.ValueOf(counts)
	out := make(map[string]uint64, v.NumField())
	for i := range v.NumField() {
		out[v.Type().Field(i).Name] = v.Field(i).Uint()
	}
	return out
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}

// frameworkLog passes the web framework's errors to the log of the process and discards
// its other messages.
type frameworkLog struct{ logger *log.Logger }

func (f frameworkLog) Alert(v any)                     { f.logger.Error("web framework", "alert", v) }
func (f frameworkLog) Close() error                    { return nil }
func (f frameworkLog) Debug(any, ...logx.LogField)     {}
func (f frameworkLog) Error(v any, _ ...logx.LogField) { f.logger.Error("web framework", "err", v) }
func (f frameworkLog) Info(any, ...logx.LogField)      {}
func (f frameworkLog) Severe(v any)                    { f.logger.Error("web framework", "severe", v) }
func (f frameworkLog) Slow(any, ...logx.LogField)      {}
func (f frameworkLog) Stack(v any)                     { f.logger.Error("web framework", "stack", v) }
func (f frameworkLog) Stat(any, ...logx.LogField)      {}
