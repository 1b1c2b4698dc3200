// Package soak runs the packet path's programs as processes on loopback, injects
// faults from outside and checks the promises from what callers and backend
// servers see.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/internal/stand/proxy"
	"dogwoodlanding.example/dogwood/platform/stand"
)

// Ports of every host.
const (
	packetPort   = 18710
	innerPort    = 18711
	readyPort    = 18712
	serverPort   = 18713
	outboundPort = 18714
)

// service is the address that callers call.
var service = netip.MustParseAddrPort("198.18.0.1:443")

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Program   string // path of dogpath
	Dir       string // for logs and settings
	Seed      uint64
	Balancers int
	Servers   int
	Callers   int
	Length    time.Duration
	Block     byte // second byte of the loopback addresses
	Report    func(format string, args ...any)

	random   *rand.Rand
	store    *stand.Store
	storeWeb *httptest.Server
	hosts    []*host
	fronts   []*front
	checks   checks
	end      time.Time
}

// process is one of the programs.
type process struct {
	name     string
	args     []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	touched  time.Time // last fault
	finished bool      // it is not started again

	restarting sync.Mutex // held while it is ended and started again
}

// host is a backend server's host.
type host struct {
	index  int
	centre string
	agent  *process

	replacing sync.Mutex // held while its server is replaced

	mu      sync.Mutex
	server  *stand.Server
	name    string
	runs    int
	state   string
	since   time.Time // of the state, as published in a steady store
	changed time.Time // last start of the server
}

// front is an entry host.
type front struct {
	process
	proxy  *proxy.Proxy
	ready  bool
	misses int
}

// mostOfAKind bounds the processes and callers of one kind: the last byte of their
// loopback addresses tells them apart.
const mostOfAKind = 254

func (s *Soak) addr(block byte, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.Block, block, byte(i + 1)}), uint16(port))
}

// start brings up the store, the servers and the programs.
func (s *Soak) start() error {
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.store = &stand.Store{}
	s.storeWeb = httptest.NewServer(s.store.Handler())
	s.store.Configure(1, service, "desk")
	for i := range s.Servers {
		h := &host{index: i, centre: fmt.Sprint("dc", i%3)}
		if err := s.startServer(h); err != nil {
			return err
		}
		settings := setup.PathAgent{Path: s.path("agent", 2, i), Outbound: s.addr(2, i, outboundPort).String(),
			Server: s.addr(2, i, serverPort).String(), Service: "desk"}
		h.agent = &process{name: settings.Path.Name}
		if err := s.launch(h.agent, "agent", settings); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for i := range s.Balancers {
		p, err := proxy.Start(s.addr(1, i, 0).String(), strings.TrimPrefix(s.storeWeb.URL, "http://"))
		if err != nil {
			return err
		}
		settings := setup.PathBalancer{Path: s.path("balancer", 1, i), Store: p.Address(), Agents: s.addr(1, i, innerPort).String(), EvacuateMs: 5000}
		f := &front{proxy: p, process: process{name: settings.Path.Name}}
		if err := s.launch(&f.process, "balancer", settings); err != nil {
			return err
		}
		s.fronts = append(s.fronts, f)
	}
	return nil
}

func (s *Soak) path(kind string, block byte, i int) setup.Path {
	return setup.Path{Name: fmt.Sprint(kind, "-", i), Host: s.addr(block, i, 0).Addr().String(),
		Packets: s.addr(block, i, packetPort).String(), Ready: s.addr(block, i, readyPort).String()}
}

// launch writes the settings of a process and starts it.
func (s *Soak) launch(p *process, role string, settings any) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.Dir, p.name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	p.args = []string{role, "--settings", file}
	return p.start(s.Program, s.Dir)
}

// start runs the process with its output added to its log.
func (p *process) start(program, dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return nil
	}
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

// signal sends a signal to the process and notes the fault.
func (p *process) signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	// A process that has ended already needs no signal.
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Wait() // how it ended is in its log
}

// finish ends the process for good.
func (p *process) finish() {
	p.mu.Lock()
	p.finished = true
	p.mu.Unlock()
	p.signal(os.Kill)
	p.wait()
}

// startServer starts a new run of a host's server and publishes it.
func (s *Soak) startServer(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs++
	h.name = fmt.Sprintf("s%d-%d", h.index, h.runs)
	h.changed = time.Now()
	h.server = &stand.Server{Name: h.name, Address: s.addr(2, h.index, serverPort), Outbound: s.addr(2, h.index, outboundPort),
		Work: 5 * time.Millisecond, Opened: func() { s.checks.opened(h) }}
	if err := h.server.Start(); err != nil {
		return err
	}
	h.state = "ready"
	s.publish(h)
	return nil
}

func (s *Soak) publish(h *host) {
	h.since = time.Now()
	s.store.Publish(h.name, stand.Entry{Backend: "desk", Addr: s.addr(2, h.index, serverPort).String(), Zone: h.centre,
		Slots: 4, State: h.state, Born: h.changed.UnixMilli()})
}

// probe keeps the routers' view of who is in rotation.
func (s *Soak) probe(done <-chan struct{}) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		for i, f := range s.fronts {
			ready := stand.Ready(client, s.addr(1, i, readyPort))
			f.mu.Lock()
			f.misses++
			if ready {
				f.misses = 0
			}
			f.ready = f.misses < 2
			f.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// route picks the balancer of a flow's packet, by the number of balancers that
// are in rotation.
func (s *Soak) route(flow netip.AddrPort) netip.AddrPort {
	var in []int
	for i, f := range s.fronts {
		f.mu.Lock()
		if f.ready {
			in = append(in, i)
		}
		f.mu.Unlock()
	}
	if len(in) == 0 {
		in = []int{0}
	}
	return s.addr(1, in[int(flow.Port())%len(in)], packetPort)
}

// stop ends everything that the run started.
func (s *Soak) stop() {
	for _, f := range s.fronts {
		f.finish()
		f.proxy.Stop()
	}
	for _, h := range s.hosts {
		h.agent.finish()
		h.mu.Lock()
		h.server.Stop()
		h.mu.Unlock()
	}
	s.storeWeb.CloseClientConnections()
}
