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

// pageTimeout bounds the time that a page may wait for the core.
const pageTimeout = 2 * time.Second

// forceQuit keeps the framework from ending a process that still drains.
const forceQuit = 24 * time.Hour

// violations counts violated invariants in this process.
var violations atomic.Uint64

// Pages serves the pages of one process. Set the exported fields before Start.
type Pages struct {
	Host    netip.Addr
	State   func(ctx context.Context) (State, error)
	History func(ctx context.Context) ([]spread.Record, error)
	Hosts   func(ctx context.Context) ([]Declared, error)

	server *rest.Server
}

// Prepare quietens the framework's own logs and counts violated invariants.
func Prepare(logger *log.Logger) {
	logx.DisableStat()
	// Set up first, or the framework's first server would replace the writer.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Encoding: "plain"}); err != nil {
		logger.Warn("the framework's log was not set up", "err", err)
	}
	logx.SetWriter(quiet{logger})
	proc.SetTimeToForceQuit(forceQuit)
	invar.SetHandler(func(name string) {
		violations.Add(1)
		logger.Error("invariant violated", "name", name)
	})
}

// Violations is the number of violated invariants.
func Violations() uint64 { return violations.Load() }

// NewServer makes an HTTP server on the framework without its proxy, discovery
// and shedding features.
func NewServer(addr netip.AddrPort) (*rest.Server, error) {
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

// Start serves the pages on a goroutine of their own.
func (p *Pages) Start() error {
	server, err := NewServer(netip.AddrPortFrom(p.Host, conf.AdminPort))
	if err != nil {
		return err
	}
	p.server = server
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/health", Handler: p.health},
		{Method: http.MethodGet, Path: "/state", Handler: p.state},
		{Method: http.MethodGet, Path: "/history", Handler: func(w http.ResponseWriter, r *http.Request) { list(w, r, p.History) }},
		{Method: http.MethodGet, Path: "/hosts", Handler: func(w http.ResponseWriter, r *http.Request) { list(w, r, p.Hosts) }},
		{Method: http.MethodGet, Path: "/metrics", Handler: p.metrics},
	})
	go server.Start()
	return nil
}

// Stop ends the pages.
func (p *Pages) Stop() { p.server.Stop() }

func (p *Pages) withState(w http.ResponseWriter, r *http.Request, f func(State)) {
	ctx, cancel := context.WithTimeout(r.Context(), pageTimeout)
	defer cancel()
	state, err := p.State(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	f(state)
}

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

// list writes what the core lists.
func list[T any](w http.ResponseWriter, r *http.Request, read func(context.Context) ([]T, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), pageTimeout)
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

// WriteMetrics writes a state in the Prometheus text format.
func WriteMetrics(w io.Writer, s State) {
	prefix := "dogwood_" + s.Role + "_"
	names := make([]string, 0, len(s.Counts))
	for name := range s.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		metrics.WriteCounterUint64(w, prefix+snake(name)+"_total", s.Counts[name])
	}
	metrics.WriteGaugeUint64(w, "dogwood_revision", s.Revision)
	metrics.WriteGaugeUint64(w, "dogwood_revision_seen", s.Seen)
	metrics.WriteGaugeUint64(w, "dogwood_ready", flag(s.Ready))
	metrics.WriteGaugeUint64(w, "dogwood_leased", flag(s.Leased))
	metrics.WriteGaugeUint64(w, "dogwood_flows_held", uint64(s.FlowsHeld))
	metrics.WriteGaugeUint64(w, "dogwood_request_limit", uint64(s.RequestLimit))
	metrics.WriteGaugeUint64(w, "dogwood_cold", flag(s.Cold))
	metrics.WriteGaugeUint64(w, "dogwood_draining", flag(s.Draining))
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

func flag(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

// snake turns a Pascal case name into the case of metric names.
func snake(name string) string {
	var b strings.Builder
	for i, c := range name {
		if unicode.IsUpper(c) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

// CountsOf turns a struct of counters into a map by field name.
func CountsOf(counts any) map[string]uint64 {
	v := reflect.ValueOf(counts)
	out := make(map[string]uint64, v.NumField())
	for i := range v.NumField() {
		out[v.Type().Field(i).Name] = v.Field(i).Uint()
	}
	return out
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader has gone if this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// quiet hands the framework's errors to the process's log and drops the rest.
type quiet struct{ logger *log.Logger }

func (q quiet) Alert(v any)                     { q.logger.Error("framework", "alert", v) }
func (q quiet) Close() error                    { return nil }
func (q quiet) Debug(any, ...logx.LogField)     {}
func (q quiet) Error(v any, _ ...logx.LogField) { q.logger.Error("framework", "err", v) }
func (q quiet) Info(any, ...logx.LogField)      {}
func (q quiet) Severe(v any)                    { q.logger.Error("framework", "severe", v) }
func (q quiet) Slow(any, ...logx.LogField)      {}
func (q quiet) Stack(v any)                     { q.logger.Error("framework", "stack", v) }
func (q quiet) Stat(any, ...logx.LogField)      {}
