// Package soak is a randomized fault test. It runs balancers and agents as processes
// on loopback, injects faults from outside and checks the guarantees of the load
// balancer by what callers and backend servers observe.
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

	"dogwoodlanding.example/dogwood/internal/fakes/proxy"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/platform/fakes"
)

// Ports on the loopback addresses of the instances.
const (
	packetPort   = 18710
	agentsPort   = 18711 // of a balancer, for messages from agents
	readyPort    = 18712 // HTTP readiness check
	serverPort   = 18713 // of a backend server, for packets from its agent
	outboundPort = 18714 // of an agent, for packets from its server
)

// serviceAddr is the service address that callers connect to.
var serviceAddr = netip.MustParseAddrPort("198.18.0.1:443")

// Soak is one run of the fault test. Set the exported fields before Run.
type Soak struct {
	Program       string // path of the dogpath executable
	Dir           string // for the logs and settings of the processes
	Seed          uint64
	BalancerCount int
	ServerCount   int
	CallerCount   int
	FaultDuration time.Duration // faults are injected for this long
	// LoadSettings switches on the parts for heavy load: the queue for all work, verdicts on
	// servers, and the order by spare capacity. The servers then have two slots for four.
	LoadSettings bool
	Block        byte                             // second byte of the loopback addresses
	Logf         func(format string, args ...any) // called for each fault

	random        *rand.Rand
	store         *fakes.Store
	storeServer   *httptest.Server
	hosts         []*serverHost
	balancers     []*balancer
	checks        checks
	faultDeadline time.Time
}

// process is a balancer or an agent.
type process struct {
	name      string
	args      []string
	mu        sync.Mutex
	cmd       *exec.Cmd
	lastFault time.Time // last signal or restart
	finished  bool      // set at the end of the run; prevents another start

	restartMu sync.Mutex // held while the process is restarted
}

// serverHost is the host of a backend server and its agent.
type serverHost struct {
	index      int
	dataCentre string
	agent      *process

	replaceMu sync.Mutex // held while the server is replaced

	mu            sync.Mutex
	server        *fakes.Server
	serverName    string
	instances     int       // servers started on this host so far
	serverState   string    // ready, draining or gone
	publishedAt   time.Time // when serverState was last published
	serverChanged time.Time // last start or stop of the server
}

// balancer is a balancer process and its connection to the store.
type balancer struct {
	process
	proxy        *proxy.Proxy
	inRotation   bool // routers send packets to it
	failedProbes int  // consecutive failed readiness checks
}

// maxPerRole bounds the number of balancers, of servers and of callers: instances of
// one role differ only in the last byte of their loopback address.
const maxPerRole = 254

// addr returns the loopback address of an instance. The third byte is 1 for balancers,
// 2 for servers and their agents, 3 for callers.
func (s *Soak) addr(subnet byte, index, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.Block, subnet, byte(index + 1)}), uint16(port))
}

// start starts the store, the servers, the agents and the balancers.
func (s *Soak) start() error {
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.store = &fakes.Store{}
	s.storeServer = httptest.NewServer(s.store.Handler())
	s.store.Configure(1, serviceAddr, "desk")
	for i := range s.ServerCount {
		h := &serverHost{index: i, dataCentre: fmt.Sprint("dc", i%3)}
		if err := s.startServer(h); err != nil {
			return err
		}
		settings := setup.PathAgent{Path: s.pathSettings("agent", 2, i), Outbound: s.addr(2, i, outboundPort).String(),
			Server: s.addr(2, i, serverPort).String(), Service: "desk"}
		if s.LoadSettings {
			settings.Queue, settings.Health = setup.QueueAllWork, setup.HealthByTraffic
		}
		h.agent = &process{name: settings.Path.Name}
		if err := s.launch(h.agent, "agent", settings); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for i := range s.BalancerCount {
		p, err := proxy.Start(s.addr(1, i, 0).String(), strings.TrimPrefix(s.storeServer.URL, "http://"))
		if err != nil {
			return err
		}
		settings := setup.PathBalancer{Path: s.pathSettings("balancer", 1, i), Store: p.Address(), Agents: s.addr(1, i, agentsPort).String(), EvacuateMs: 5000}
		if s.LoadSettings {
			settings.Balance = setup.BalanceByRoom
		}
		b := &balancer{proxy: p, process: process{name: settings.Path.Name}}
		if err := s.launch(&b.process, "balancer", settings); err != nil {
			return err
		}
		s.balancers = append(s.balancers, b)
	}
	return nil
}

// slots returns how many requests a server reports that it runs at once.
func (s *Soak) slots() int {
	if s.LoadSettings {
		return 2
	}
	return 4
}

// pathSettings returns the settings that balancers and agents share.
func (s *Soak) pathSettings(role string, subnet byte, index int) setup.Path {
	return setup.Path{Name: fmt.Sprint(role, "-", index), Host: s.addr(subnet, index, 0).Addr().String(),
		Packets: s.addr(subnet, index, packetPort).String(), Ready: s.addr(subnet, index, readyPort).String()}
}

// launch writes the settings file of a process and starts the process.
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

// start starts the process and appends its output to its log file.
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

// signal sends a signal to the process and records the time.
func (p *process) signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
	// The error is ignored: the process may have ended already.
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Wait() // its log has the cause of an abnormal end
}

// finish kills the process and prevents further starts.
func (p *process) finish() {
	p.mu.Lock()
	p.finished = true
	p.mu.Unlock()
	p.signal(os.Kill)
	p.wait()
}

// startServer starts a new server instance on a host and publishes its entry.
func (s *Soak) startServer(h *serverHost) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instances++
	h.serverName = fmt.Sprintf("s%d-%d", h.index, h.instances)
	h.serverChanged = time.Now()
	h.server = &fakes.Server{Name: h.serverName, Address: s.addr(2, h.index, serverPort), Outbound: s.addr(2, h.index, outboundPort),
		ServiceTime: 5 * time.Millisecond, OnNewFlow: func() { s.checks.checkNewFlow(h) }}
	if err := h.server.Start(); err != nil {
		return err
	}
	h.serverState = "ready"
	s.publish(h)
	return nil
}

// publish writes the entry of a host's server to the store. The caller holds h.mu.
func (s *Soak) publish(h *serverHost) {
	h.publishedAt = time.Now()
	s.store.Publish(h.serverName, fakes.Entry{Backend: "desk", Addr: s.addr(2, h.index, serverPort).String(), Zone: h.dataCentre,
		Slots: s.slots(), State: h.serverState, Born: h.serverChanged.UnixMilli()})
}

// probeBalancers checks the readiness of the balancers as the routers do: two failed
// checks in a row take a balancer out of rotation.
func (s *Soak) probeBalancers(done <-chan struct{}) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		for i, b := range s.balancers {
			ready := fakes.Ready(client, s.addr(1, i, readyPort))
			b.mu.Lock()
			b.failedProbes++
			if ready {
				b.failedProbes = 0
			}
			b.inRotation = b.failedProbes < 2
			b.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// routeFlow selects the balancer for a packet as ECMP routers do: by the flow, modulo
// the number of balancers in rotation. A change of that number moves open flows to
// other balancers.
func (s *Soak) routeFlow(flow netip.AddrPort) netip.AddrPort {
	var available []int
	for i, b := range s.balancers {
		b.mu.Lock()
		if b.inRotation {
			available = append(available, i)
		}
		b.mu.Unlock()
	}
	if len(available) == 0 {
		available = []int{0}
	}
	return s.addr(1, available[int(flow.Port())%len(available)], packetPort)
}

// stop ends all processes and servers of the run.
func (s *Soak) stop() {
	for _, b := range s.balancers {
		b.finish()
		b.proxy.Stop()
	}
	for _, h := range s.hosts {
		h.agent.finish()
		h.mu.Lock()
		h.server.Stop()
		h.mu.Unlock()
	}
	s.storeServer.CloseClientConnections()
}
