// Package caller is a stand-in for a caller: it opens streams, sends and resends
// requests, and counts the outcomes.
package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/edge"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
)

// tickInterval is the interval at which loads and timers are processed.
const tickInterval = 10 * time.Millisecond

// Range of the source ports of flows and requests; lastPort itself is not used.
const (
	firstPort = 10_000
	lastPort  = 60_000
)

// Streams is a load of long-lived TCP flows to one service.
type Streams struct {
	Service   string
	Target    netip.AddrPort
	Count     int // flows kept open
	EveryMs   int // interval between the packets of a flow
	PerSecond int // rate at which flows are opened until Count is reached
	LifeMs    int // the caller closes a flow after this time; 0 means never
}

// Requests is a load of requests, sent in UDP datagrams, to one service.
type Requests struct {
	Service       string
	Target        netip.AddrPort
	Method        string
	NonIdempotent bool
	PerSecond     int
	Bytes         int // size of the answer's body
	TimeoutMs     int // deadline of a request, from its first copy
	ResendMs      int // interval at which an unanswered request is sent again
	TwinIn        int // one in TwinIn requests starts with two copies at once; 0 means none
}

// Caller is one caller host. Set the exported fields before Run; dogstand decodes them
// from JSON.
type Caller struct {
	Host     netip.Addr // own address
	Fabric   netip.Addr // address of the fabric, which gets all packets
	Streams  []Streams
	Requests []Requests
	Seed     uint64

	mutex         sync.Mutex
	random        *rand.Rand
	socket        *edge.PacketSocket
	lastPortUsed  uint16
	streams       map[flow.Key]*stream
	pending       map[string]*request
	loadByRequest map[string]*Requests // by identifier, of every request ever sent
	requestByPort map[uint16]string    // pending request that uses a source port
	stopped       bool
	report        Report
}

// Report counts what the caller observed.
type Report struct {
	Flows         int // established
	FlowsRefused  int // reset or unanswered before they were established
	Broken        []Broken
	Ended         int // flows that the caller closed
	Open          int // flows that are open now, established or not
	Requests      int
	Answered      int
	NotRun        int
	Unknown       int
	Late          int // requests given up by the caller without any answer
	WrongAnswers  int // incomplete, or belonging to another request
	CopiesSent    int
	NotRunIDs     []Refusal
	AnswerMs      []int64        // per request, from its first copy to its answer or end
	SilentMs      int64          // longest gap between packets received on an established flow
	RetryAfterNil int            // refusals and unknown outcomes without a retry-after time
	Reasons       map[string]int // of refusals and unknown outcomes, counted by text
}

// Broken is an established flow that broke before the caller closed it.
type Broken struct {
	Service string
	Server  string
	AtMs    int64 // Unix time
	Cause   string
}

// Refusal is a copy of a request that was answered as not run.
type Refusal struct {
	ID            string
	Copy          int
	NonIdempotent bool
}

// Run opens the socket and generates load. It returns only if the socket cannot be
// opened. After POST /control/stop it starts no new flows or requests, but continues
// those that are open.
func (c *Caller) Run() error {
	socket, err := edge.ListenPackets(c.Host)
	if err != nil {
		return err
	}
	c.socket = socket
	c.random = rand.New(rand.NewPCG(c.Seed, 11))
	c.lastPortUsed = firstPort
	c.streams = make(map[flow.Key]*stream)
	c.report.Reasons = make(map[string]int)
	c.pending = make(map[string]*request)
	c.loadByRequest = make(map[string]*Requests)
	c.requestByPort = make(map[uint16]string)
	go c.receive()
	startedAt := time.Now()
	for now := range time.Tick(tickInterval) {
		c.step(now, now.Sub(startedAt))
	}
	return nil
}

func (c *Caller) receive() {
	var reader packet.Reader
	c.socket.Receive(func(_ netip.Addr, raw []byte) {
		info, err := reader.Read(raw)
		if err != nil {
			return
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if info.Key.Protocol == packet.ProtocolTCP {
			c.handleSegment(time.Now(), info)
		} else {
			c.handleAnswer(time.Now(), info)
		}
	})
}

// step starts new work and processes timers. elapsed is the time since Run began.
func (c *Caller) step(now time.Time, elapsed time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.stopped {
		c.openStreams(now, elapsed)
		c.startRequests(now, elapsed)
	}
	c.checkStreams(now)
	c.checkRequests(now)
}

// nextPort returns the next source port, cycling through the range.
func (c *Caller) nextPort() uint16 {
	c.lastPortUsed++
	if c.lastPortUsed >= lastPort {
		c.lastPortUsed = firstPort
	}
	return c.lastPortUsed
}

// send sends a packet to the fabric, unless building it failed.
func (c *Caller) send(raw []byte, err error) {
	if err == nil {
		c.socket.Send(c.Fabric, raw)
	}
}

// Handler serves the caller's control interface.
func (c *Caller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/stop", func(http.ResponseWriter, *http.Request) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.stopped = true
	})
	mux.HandleFunc("GET /control/report", func(w http.ResponseWriter, _ *http.Request) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		report := c.report
		report.Open = len(c.streams)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	})
	return mux
}
