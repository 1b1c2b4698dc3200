// Package path runs the decisions of pkg/steer as processes: sockets, timers,
// the watch on the users' store, logs and metrics. It decides nothing.
package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/lines"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Sizes of buffers in bytes.
const (
	// maxPacket holds the largest packet with room to notice a longer one.
	maxPacket = 2048
	// socketBuffer is what the kernel may queue for one socket: about 200 ms
	// of a busy host's packets.
	socketBuffer = 1 << 20
)

// tickInterval is the time between two runs of the timers.
const tickInterval = 100 * time.Millisecond

// Bounds of the decision log.
const (
	logPerSecond = 60  // lines, on average
	logBurst     = 240 // lines at once
)

// listen opens a UDP socket.
func listen(address string) (*net.UDPConn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(socketBuffer)
}

// headRoom is where a datagram begins in its buffer, so that a message fits in
// front of a packet.
const headRoom = steer.MaxBytes

// receive hands each datagram of a socket to handle, headRoom bytes into raw, with
// the lock held, until the socket fails. The bytes are overwritten by the next one.
func receive(logger *log.Logger, conn *net.UDPConn, lock *sync.Mutex, handle func(raw []byte, from netip.AddrPort)) {
	buffer := make([]byte, headRoom+steer.MaxBytes+maxPacket)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[headRoom:])
		if err != nil {
			logger.Error("read packets", "socket", conn.LocalAddr(), "err", err)
			return
		}
		lock.Lock()
		handle(buffer[:headRoom+n], from)
		lock.Unlock()
	}
}

// every calls run with the lock held, at each interval and when soon fires, until
// the context ends.
func every(ctx context.Context, interval time.Duration, soon <-chan time.Time, lock *sync.Mutex, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-soon:
		}
		lock.Lock()
		run()
		lock.Unlock()
	}
}

// serviced is what the two processes show and follow besides packets.
type serviced struct {
	log    *log.Logger
	path   setup.Path
	file   string // that the settings are read from again, if not empty
	set    *metrics.Set
	ready  func() bool
	reload func() error
}

// start serves the pages and follows the settings file until the context ends.
func (s serviced) start(ctx context.Context) error {
	if err := serve(ctx, s.log, s.path.Ready, platform.ReadyHandler(s.ready)); err != nil {
		return fmt.Errorf("open Path.Ready: %w", err)
	}
	if s.path.Metrics != "" {
		if err := serve(ctx, s.log, s.path.Metrics, metricsHandler(s.set)); err != nil {
			return fmt.Errorf("open Path.Metrics: %w", err)
		}
	}
	if s.file != "" {
		go onChange(ctx, s.log, s.file, s.reload)
	}
	return nil
}

// encode writes a message that has no packet.
func encode(m steer.Message) []byte {
	datagram := make([]byte, m.Size())
	m.Encode(datagram)
	return datagram
}

// serve answers HTTP requests until the context ends.
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

// countDropped shows the log lines that were dropped, if the log can tell.
func countDropped(set *metrics.Set, dropped func() uint64) {
	if dropped != nil {
		set.NewGauge("dogwood_log_lines_dropped_total", func() float64 { return float64(dropped()) })
	}
}

// metricsHandler serves a set of metrics.
func metricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
}

// journal writes decision lines, bounded.
type journal struct {
	log   *log.Logger
	limit lines.Limit
}

func newJournal(logger *log.Logger) journal {
	return journal{log: logger, limit: lines.Limit{PerSecond: logPerSecond, Burst: logBurst}}
}

// line writes one decision line, or counts it as suppressed.
func (j *journal) line(now clock.Millis, message string, fields ...any) {
	ok, suppressed := j.limit.Allow(now)
	if !ok {
		return
	}
	if suppressed > 0 {
		j.log.Warn("decision lines suppressed", "lines", suppressed)
	}
	j.log.Info(message, fields...)
}

// send sends a datagram. A lost one is repeated by the caller, so a failure is only
// logged.
func (j *journal) send(now clock.Millis, conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		j.line(now, "send failed", "to", to, "err", err)
	}
}

// flowLife is the longest life of a flow, 0 if the settings do not tell it.
func flowLife(p setup.Path) clock.Millis { return clock.Millis(p.FlowLifeS) * clock.Second }

// fixed is the part of the settings that takes effect at the start only.
func fixed(p setup.Path) setup.Path {
	p.LogLevel = ""
	return p
}

// cause says why a packet got its verdict.
func cause(v steer.Verdict, r steer.Reason) string { return v.String() + ":" + r.String() }
