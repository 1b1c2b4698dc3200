// Package path implements the processes of command dogpath: Balancer runs on an entry
// host, Agent on the host of a backend server. Each wraps the type of the same name in
// package steer, which makes the decisions, and adds sockets, timers, logs and metrics.
// The balancer also watches the platform's store, which lists the servers, the routes
// and the data centres that are out of service.
//
// Packages entry and agent implement the processes of command dogwood, whose decisions
// package node makes.
package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"runtime/debug"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/logbuf"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Sizes of buffers in bytes.
const (
	// maxPacketBytes is more than the largest packet, so that a longer one can be
	// detected.
	maxPacketBytes = 2048
	// socketBufferBytes is the receive buffer of a socket: about 200 ms of the packets
	// of a busy host.
	socketBufferBytes = 1 << 20
)

// tickInterval is the time between two runs of a balancer's timers.
const tickInterval = 100 * time.Millisecond

// readRetryPause is the pause after a socket failed to be read, so that a lasting error
// takes little processor time.
const readRetryPause = 100 * time.Millisecond

// Limits of the decision log.
const (
	logPerSecond = 60  // lines, on average
	logBurst     = 240 // lines at once
)

// listen opens a UDP socket at an IPv4 address and port.
func listen(address string) (*net.UDPConn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(socketBufferBytes)
}

// headroom is the space in bytes that a receiver leaves in front of a datagram, so that a
// message fits in front of a packet.
const headroom = steer.MaxBytes

// receiver reads the datagrams of a socket.
type receiver struct {
	log    *log.Logger
	conn   *net.UDPConn
	lock   *sync.Mutex // held while handle runs
	panics *metrics.Counter
	// handle handles a datagram, which begins headroom bytes into raw. The next one
	// overwrites it.
	handle func(raw []byte, from netip.AddrPort)
}

// newReceiver returns a receiver that counts panics in a set of metrics.
func newReceiver(logger *log.Logger, conn *net.UDPConn, lock *sync.Mutex, set *metrics.Set, handle func([]byte, netip.AddrPort)) receiver {
	return receiver{logger, conn, lock, set.GetOrCreateCounter("dogwood_panics_total"), handle}
}

// run handles datagrams until the socket is closed. After any other error it reads on: a
// process that stops reading would go on to report that it is ready.
func (r receiver) run() {
	buffer := make([]byte, headroom+steer.MaxBytes+maxPacketBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer[headroom:])
		switch {
		case errors.Is(err, net.ErrClosed):
			r.log.Error("socket closed", "socket", r.conn.LocalAddr())
			return
		case err != nil:
			r.log.Error("read packets", "socket", r.conn.LocalAddr(), "err", err)
			time.Sleep(readRetryPause)
		default:
			r.contain(buffer[:headroom+n], from)
		}
	}
}

// contain handles one datagram. A panic costs only that datagram: the same one may reach
// every host, and would otherwise end all processes in turn.
func (r receiver) contain(raw []byte, from netip.AddrPort) {
	r.lock.Lock()
	defer r.lock.Unlock()
	defer func() {
		if cause := recover(); cause != nil {
			r.panics.Inc()
			r.log.Error("panic while a datagram was handled", "socket", r.conn.LocalAddr(), "from", from, "bytes", len(raw)-headroom, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	r.handle(raw, from)
}

// runEvery calls run with the lock held, once in each interval and when early fires,
// until ctx is cancelled.
func runEvery(ctx context.Context, interval time.Duration, early <-chan time.Time, lock *sync.Mutex, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-early:
		}
		lock.Lock()
		run()
		lock.Unlock()
	}
}

// auxiliaryTasks holds what both processes do besides forwarding packets: they serve
// the readiness check and the metrics, and reload their settings.
type auxiliaryTasks struct {
	log       *log.Logger
	path      setup.Path
	file      string // settings file to reload on changes, if not empty
	metricSet *metrics.Set
	ready     func() bool
	reload    func() error
}

// start serves HTTP and watches the settings file in the background until ctx is
// cancelled.
func (t auxiliaryTasks) start(ctx context.Context) error {
	if err := serve(ctx, t.log, t.path.Ready, platform.ReadyHandler(t.ready)); err != nil {
		return fmt.Errorf("listen on Path.Ready: %w", err)
	}
	if t.path.Metrics != "" {
		if err := serve(ctx, t.log, t.path.Metrics, metricsHandler(t.metricSet)); err != nil {
			return fmt.Errorf("listen on Path.Metrics: %w", err)
		}
	}
	if t.file != "" {
		go watchSettings(ctx, t.log, t.file, t.reload)
	}
	return nil
}

// encodeMessage returns the encoding of a message without a packet.
func encodeMessage(m steer.Message) []byte {
	datagram := make([]byte, m.Size())
	m.Encode(datagram)
	return datagram
}

// serve starts an HTTP server that runs until ctx is cancelled.
func serve(ctx context.Context, logger *log.Logger, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("HTTP server ended", "address", address, "err", err)
		}
	}()
	return nil
}

// registerDroppedLines creates the metric of dropped log lines, unless dropped is nil.
func registerDroppedLines(set *metrics.Set, dropped func() uint64) {
	if dropped != nil {
		set.NewGauge("dogwood_log_lines_dropped_total", func() float64 { return float64(dropped()) })
	}
}

// metricsHandler serves metrics in the Prometheus text format.
func metricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
}

// limitedLog writes decisions to a log at a limited rate.
type limitedLog struct {
	log   *log.Logger
	limit logbuf.Limiter
}

func newLimitedLog(logger *log.Logger) limitedLog {
	return limitedLog{log: logger, limit: logbuf.Limiter{PerSecond: logPerSecond, Burst: logBurst}}
}

// info logs a message, or counts it as suppressed if it exceeds the limit.
func (l *limitedLog) info(now clock.Millis, message string, fields ...any) {
	ok, suppressed := l.limit.Allow(now)
	if !ok {
		return
	}
	if suppressed > 0 {
		l.log.Warn("decision lines suppressed", "lines", suppressed)
	}
	l.log.Info(message, fields...)
}

// sendOrLog sends a datagram. A failure is only logged, since callers retransmit lost
// packets.
func (l *limitedLog) sendOrLog(now clock.Millis, conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		l.info(now, "send failed", "to", to, "err", err)
	}
}

// flowLife returns the longest life of a flow, 0 if the settings do not set it.
func flowLife(p setup.Path) clock.Millis { return clock.Millis(p.FlowLifeS) * clock.Second }

// needsStart reports whether settings differ in more than the log level, so that the
// change takes effect only at the next start.
func needsStart(before, after setup.Path) bool {
	after.LogLevel = before.LogLevel
	return !reflect.DeepEqual(before, after)
}

// setLogLevel applies a level of the settings. The settings were checked, and an empty
// level means info.
func setLogLevel(logger *log.Logger, level string) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	logger.SetLevel(parsed)
}

// disabledMechanisms returns the mechanisms that checked settings switch off, and logs
// them.
func disabledMechanisms(logger *log.Logger, p setup.Path) (steer.MechanismSet, error) {
	set, err := steer.ParseMechanisms(p.Disabled)
	if set != 0 {
		logger.Warn("mechanisms disabled", "names", p.Disabled)
	}
	return set, err
}

// decisionText returns a verdict and its reason as one word for logs and metrics.
func decisionText(v steer.Verdict, r steer.Reason) string { return v.String() + ":" + r.String() }
