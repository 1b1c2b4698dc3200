// Package server is a stand-in for a backend server. It holds flows, runs requests in
// slots, starts cold, sheds requests when it is overloaded and crashes if it has to shed
// too many while it warms up. It records every run, so that requests that ran twice can
// be counted.
package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/edge"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
)

// Behaviour of a server under load.
const (
	coldWarmth        = 0.15 // warmth right after a start
	warmUpRuns        = 60   // completed runs until a cold server is nearly warm
	maxShedsPerSecond = 40   // more than this make a server that is not warm crash
	crashDownTime     = 300 * time.Millisecond
	meanRunDuration   = 15 * time.Millisecond
)

// Server is one backend server. Set the exported fields before Run.
type Server struct {
	Name    string
	Packets netip.AddrPort   // where its agent sends packets
	Targets []netip.AddrPort // service addresses that it accepts packets for
	Slots   int              // requests that it runs concurrently when warm

	mutex       sync.Mutex
	random      *rand.Rand
	instance    string // differs after every start
	startCount  int
	warmth      float64     // share of the slots that can be used, 1 when warm
	running     int         // requests that are running
	recentSheds []time.Time // within the last second
	downUntil   time.Time   // after a crash the server does not respond until then
	draining    bool
	flows       map[flow.Key]uint32 // next sequence number of the reply
	runs        []Run
	stats       Stats
}

// Run is one execution of a request.
type Run struct {
	ID     string
	Copy   int
	Method string
	Server string
}

// Stats holds the counters of a server process, across its instances.
type Stats struct {
	Name           string
	FlowsHeld      int
	FlowsOpened    int
	Runs           int
	Sheds          int
	Falls          int   // crashes from overload
	Misrouted      int   // packets for addresses not in Targets
	UnknownFlow    int   // packets of flows that it does not hold
	LastPacketMs   int64 // Unix time
	MostConcurrent int   // highest number of concurrent runs
}

// Run opens the packet socket and answers packets until the socket is closed.
func (s *Server) Run() error {
	socket, err := edge.ListenPackets(s.Packets.Addr())
	if err != nil {
		return err
	}
	var reader packet.Reader
	socket.Receive(func(_ netip.Addr, raw []byte) {
		info, err := reader.Read(raw)
		if err != nil {
			return
		}
		if answer := s.handlePacket(info); answer != nil {
			socket.Send(info.Key.Source().Addr(), answer)
		}
	})
	return nil
}

// Start starts the first instance: cold and without flows.
func (s *Server) Start() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startInstance()
}

// startInstance starts a cold instance without flows. The caller holds the mutex.
func (s *Server) startInstance() {
	s.startCount++
	s.instance = fmt.Sprintf("%s-%d-%d", s.Name, time.Now().UnixNano(), s.startCount)
	s.warmth = coldWarmth
	s.running = 0
	s.flows = make(map[flow.Key]uint32)
	s.recentSheds = nil
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(uint64(len(s.Name)), 7))
	}
}

// handlePacket handles a packet and returns the answer, or nil.
func (s *Server) handlePacket(info packet.Info) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.LastPacketMs = time.Now().UnixMilli()
	if time.Now().Before(s.downUntil) {
		return nil
	}
	if !s.isTarget(info.Key.Target()) {
		s.stats.Misrouted++
		return nil
	}
	nextSeq, held := s.flows[info.Key]
	switch {
	case info.OpensConnection:
		if !held {
			s.flows[info.Key] = 1
			s.stats.FlowsOpened++
		}
		return buildSegment(info, packet.Flags{Syn: true, Ack: true}, 0, nil)
	case !held:
		s.stats.UnknownFlow++
		raw, _ := packet.Reset(info)
		return raw
	case info.EndsConnection:
		delete(s.flows, info.Key)
		return buildSegment(info, packet.Flags{Fin: true, Ack: true}, nextSeq, nil)
	}
	s.flows[info.Key] = nextSeq + uint32(len(s.Name))
	return buildSegment(info, packet.Flags{Ack: true}, nextSeq, []byte(s.Name))
}

func (s *Server) isTarget(target netip.AddrPort) bool {
	for _, t := range s.Targets {
		if t == target {
			return true
		}
	}
	return false
}

// buildSegment returns a segment that answers and acknowledges a packet.
func buildSegment(info packet.Info, flags packet.Flags, seq uint32, payload []byte) []byte {
	raw, err := packet.Segment(packet.Reverse(info.Key), flags, seq, info.Seq+uint32(len(info.Payload)), payload)
	if err != nil {
		return nil
	}
	return raw
}

// Handler serves the server's HTTP interface to its agent and its control interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{method}", s.handleRun)
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("GET /flows", s.handleFlows)
	mux.HandleFunc("POST /control/restart", func(http.ResponseWriter, *http.Request) { s.crash(crashDownTime) })
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { s.startDrain() })
	mux.HandleFunc("GET /control/stats", s.handleStats)
	mux.HandleFunc("GET /control/runs", s.handleRuns)
	return mux
}

// crash ends the instance with its flows and running requests. The server responds
// again, cold, after downTime.
func (s *Server) crash(downTime time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.downUntil = time.Now().Add(downTime)
	s.draining = false
	s.startInstance()
}

func (s *Server) startDrain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
}

// acquireSlot takes a slot and records the run. It returns ok false if no slot is free,
// and down true if the server is down after a crash.
func (s *Server) acquireSlot(run Run) (ok, down bool, instance string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.downUntil) {
		return false, true, ""
	}
	if s.running >= int(math.Ceil(float64(s.Slots)*s.warmth)) {
		s.recordShed()
		return false, false, s.instance
	}
	s.running++
	s.stats.MostConcurrent = max(s.stats.MostConcurrent, s.running)
	s.runs = append(s.runs, run)
	return true, false, s.instance
}

// recordShed counts a shed request and crashes a server that is not warm if there were
// more than maxShedsPerSecond. The caller holds the mutex.
func (s *Server) recordShed() {
	s.stats.Sheds++
	now := time.Now()
	recent := s.recentSheds[:0]
	for _, at := range s.recentSheds {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	s.recentSheds = append(recent, now)
	if len(s.recentSheds) > maxShedsPerSecond && s.warmth < 1 {
		s.stats.Falls++
		s.downUntil = now.Add(crashDownTime)
		s.startInstance()
	}
}

// releaseSlot frees the slot of a run. It returns false if the instance that started the
// run has crashed.
func (s *Server) releaseSlot(instance string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if instance != s.instance {
		return false
	}
	s.running--
	s.warmth = math.Min(1, s.warmth+(1-coldWarmth)/warmUpRuns)
	return true
}

// runDuration returns a random duration for a run, 0.5 to 1.5 times the mean; a cold
// server takes up to twice as long.
func (s *Server) runDuration() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	factor := (0.5 + s.random.Float64()) * (2 - s.warmth)
	return time.Duration(float64(meanRunDuration) * factor)
}

// Result is the answer to a request. Sum covers ID, Method and Body.
type Result struct {
	ID     string
	Method string
	Server string
	Body   string
	Sum    string
}

// Sum returns the checksum by which a caller verifies that a result is complete and
// belongs to its request.
func Sum(id, method, body string) string {
	sum := sha256.Sum256([]byte(id + "\n" + method + "\n" + body))
	return hex.EncodeToString(sum[:8])
}

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	copyNumber, _ := strconv.Atoi(r.Header.Get("Request-Copy"))
	run := Run{r.Header.Get("Request-Id"), copyNumber, r.PathValue("method"), s.Name}
	ok, down, instance := s.acquireSlot(run)
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Instance", instance)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.runDuration())
	if !s.releaseSlot(instance) {
		panic(http.ErrAbortHandler)
	}
	var params struct{ Bytes int }
	_ = json.NewDecoder(r.Body).Decode(&params)
	body := strings.Repeat("x", min(params.Bytes, 32_000))
	writeJSON(w, Result{run.ID, run.Method, s.Name, body, Sum(run.ID, run.Method, body)})
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.downUntil) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct {
		Instance string
		Draining bool
	}{s.instance, s.draining})
}

// flowRow is a row of the connection table that an agent reads.
type flowRow struct {
	Source   string
	Target   string
	Protocol uint8
}

func (s *Server) handleFlows(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := make([]flowRow, 0, len(s.flows))
	for key := range s.flows {
		rows = append(rows, flowRow{key.Source().String(), key.Target().String(), key.Protocol})
	}
	writeJSON(w, rows)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Name = s.Name
	s.stats.FlowsHeld = len(s.flows)
	s.stats.Runs = len(s.runs)
	writeJSON(w, s.stats)
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, s.runs)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
