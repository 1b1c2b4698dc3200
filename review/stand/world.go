package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"dogwoodlanding.example/dogwood/platform/fakes"
)

// Bounds of a small deployment, as in the site file plfo-tpe.
const (
	contact   = 4000 * time.Millisecond // contact_ms
	applyTime = 3000 * time.Millisecond // config_apply_ms
	evacuate  = 5000 * time.Millisecond // evacuate_ms
	drainTime = 3000 * time.Millisecond // drain_ms
	lifeS     = 60                      // max_flow_s
)

// errSetup marks failures that prevent a case from running.
var errSetup = errors.New("the case could not run")

// world is one small deployment on loopback addresses: a store, balancers, servers with
// their agents, and one caller host.
type world struct {
	program string // path of dogpath
	dir     string // for settings and logs
	record  *os.File
	began   time.Time
	net     [2]byte // second and third byte of all addresses
	ports   ports
	store   *fakes.Store
	version int

	mu        sync.Mutex
	processes []*process
	balancers []*balancer
	servers   []*backend
	caller    *fakes.Caller
	routed    int // index of the balancer that the router chooses
	closers   []func()
}

// ports are the ports in use, the same on all hosts.
type ports struct{ packets, agents, ready, server, outbound, store uint16 }

// process is one process of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// balancer is an entry host.
type balancer struct {
	world    *world
	index    int
	settings string
	process  *process
	front    *storeFront
}

// backend is a server with the agent beside it.
type backend struct {
	world    *world
	index    int
	name     string // in the store
	service  string
	zone     string
	server   *fakes.Server
	settings string
	process  *process
	born     int64
}

func newWorld(program, recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, record: record, began: time.Now(), store: &fakes.Store{}}
	for range 50 {
		w.net = [2]byte{byte(16 + rand.IntN(200)), byte(1 + rand.IntN(250))}
		first := uint16(21000 + rand.IntN(9000))
		w.ports = ports{first, first + 1, first + 2, first + 3, first + 4, first + 5}
		if w.portsFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errSetup)
}

// portsFree reports whether the ports can be bound on the hosts' addresses.
func (w *world) portsFree() bool {
	for kind := byte(0); kind < 4; kind++ {
		for _, port := range []uint16{w.ports.packets, w.ports.agents, w.ports.ready, w.ports.server, w.ports.outbound, w.ports.store} {
			address := net.UDPAddrFromAddrPort(w.addr(kind, 1, port))
			udp, err := net.ListenUDP("udp4", address)
			if err != nil {
				return false
			}
			udp.Close()
			tcp, err := net.Listen("tcp4", w.addr(kind, 1, port).String())
			if err != nil {
				return false
			}
			tcp.Close()
		}
	}
	return true
}

// addr returns an address of a host. Kind 0 is the store as seen by balancer n, 1 a
// balancer, 2 a server's host, 3 the caller, and 4 the address that callers connect to.
func (w *world) addr(kind byte, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.net[0], w.net[1], kind*40 + byte(n)}), port)
}

// logf writes a line to the record, with the time since the start.
func (w *world) logf(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

// storeFront is the store as one balancer reaches it. While it is cut, nothing passes;
// what was sent meanwhile arrives when the cut heals, unless its sender has given up.
type storeFront struct {
	handler http.Handler
	mu      sync.Mutex
	cut     chan struct{} // closed when the cut heals, nil if there is none
	silent  bool          // requests that arrive get no answer, also later
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if !f.passes(r.Context()) {
		return
	}
	answer := httptest.NewRecorder()
	f.handler.ServeHTTP(answer, r)
	if !f.passes(r.Context()) {
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the balancer may have given up
}

// passes waits for the end of a cut. It reports whether the balancer still waits.
func (f *storeFront) passes(ctx context.Context) bool {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if cut == nil {
		return ctx.Err() == nil
	}
	select {
	case <-cut:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (f *storeFront) setCut(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.cut == nil:
		f.cut = make(chan struct{})
	case !on && f.cut != nil:
		close(f.cut)
		f.cut = nil
	}
}

func (f *storeFront) setSilent(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = on
}

// The platform's format of a configuration, and the key that it is stored under.
var (
	//go:embed data/config.tmpl
	configText string
	//go:embed data/key.txt
	configKey string

	configTemplate = template.Must(template.New("config").Parse(configText))
)

// route is a route of the configuration.
type route struct {
	Name    string
	Address netip.AddrPort // that callers connect to
	Split   []target
}

// target is a service that gets a share of a route's new flows.
type target struct {
	Service string
	Weight  int
}

// service returns the address that callers connect to.
func (w *world) service() netip.AddrPort { return w.addr(4, 1, 8443) }

// configure confirms a new version of the configuration: the route's new flows go to a
// service.
func (w *world) configure(service string, services ...string) error {
	return w.configureRoutes([]netip.AddrPort{w.service()}, service, services...)
}

// configureSplit confirms a new version of the configuration: the services get shares of
// the route's new flows.
func (w *world) configureSplit(split []target, services ...string) error {
	return w.confirm([]route{{"r-1", w.service(), split}}, services)
}

// configureRoutes confirms a new version of the configuration with routes for some
// addresses.
func (w *world) configureRoutes(addresses []netip.AddrPort, service string, services ...string) error {
	var routes []route
	for i, address := range addresses {
		routes = append(routes, route{fmt.Sprintf("r-%d", i+1), address, []target{{service, 100}}})
	}
	return w.confirm(routes, services)
}

// confirm writes a new version of the configuration to the store.
func (w *world) confirm(routes []route, services []string) error {
	w.version++
	var text bytes.Buffer
	err := configTemplate.Execute(&text, map[string]any{"Version": w.version, "Routes": routes, "Services": services})
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	w.store.Put(strings.TrimSpace(configKey), text.Bytes())
	w.logf("operator: version %d confirmed: routes %v", w.version, routes)
	return nil
}

// setEvacuated confirms that a zone is evacuated, or taken back.
func (w *world) setEvacuated(zone string, out bool) {
	w.store.Evacuate(zone, out)
	if out {
		w.logf("operator: evacuation of %s confirmed", zone)
	} else {
		w.logf("operator: %s taken back, confirmed", zone)
	}
}

// pathSettings are the settings that balancers and agents have in common, as in the
// templates of the deploy file.
func (w *world) pathSettings(name, zone string, kind byte, n int) map[string]any {
	return map[string]any{"Name": name, "DataCentre": zone, "Host": w.addr(kind, n, 0).Addr().String(),
		"Packets": w.addr(kind, n, w.ports.packets).String(), "Ready": w.addr(kind, n, w.ports.ready).String(), "FlowLifeS": lifeS}
}

func (w *world) writeSettings(name string, settings any) (string, error) {
	raw, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.dir, name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// addBalancer adds an entry host and its way to the store, and starts its process.
func (w *world) addBalancer(zone string) (*balancer, error) {
	b := &balancer{world: w, index: len(w.balancers) + 1, front: &storeFront{handler: w.store.Handler()}}
	address := w.addr(0, b.index, w.ports.store)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	server := &http.Server{Handler: b.front, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	w.closers = append(w.closers, func() { server.Close() })
	b.settings, err = w.writeSettings(b.name(), map[string]any{
		"Path": w.pathSettings(b.name(), zone, 1, b.index), "Store": address.String(), "Agents": w.addr(1, b.index, w.ports.agents).String(),
		"EvacuateMs": evacuate.Milliseconds(), "DrainMs": drainTime.Milliseconds(), "ConfigMs": applyTime.Milliseconds(),
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	w.balancers = append(w.balancers, b)
	return b, b.start()
}

func (b *balancer) name() string { return fmt.Sprintf("balancer-%d", b.index) }

func (b *balancer) start() (err error) {
	b.process, err = b.world.start(b.name(), "balancer", b.settings)
	return err
}

// awaitReady waits until the balancer tells the routers that it is ready.
func (b *balancer) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if fakes.Ready(client, b.world.addr(1, b.index, b.world.ports.ready)) {
			b.world.logf("%s is ready", b.name())
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready after %v", errSetup, b.name(), limit)
}

// addServer adds a server with an agent beside it. It is in the store when publish is
// called.
func (w *world) addServer(service, zone string) (*backend, error) {
	s := &backend{world: w, index: len(w.servers) + 1, service: service, zone: zone, born: time.Now().UnixMilli()}
	s.name = fmt.Sprintf("i-%d", s.index)
	s.server = &fakes.Server{Name: s.name, Address: w.addr(2, s.index, w.ports.server), Outbound: w.addr(2, s.index, w.ports.outbound), ServiceTime: 5 * time.Millisecond}
	if err := s.server.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	w.closers = append(w.closers, s.server.Stop)
	var err error
	s.settings, err = w.writeSettings("agent-"+s.name, map[string]any{
		"Path": w.pathSettings("agent-"+s.name, zone, 2, s.index), "Outbound": s.server.Outbound.String(), "Server": s.server.Address.String(),
		"Service": service, "Queue": "AllWork", "Health": "ByTraffic",
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	w.servers = append(w.servers, s)
	s.process, err = w.start("agent-"+s.name, "agent", s.settings)
	return s, err
}

// publish writes the server's entry.
func (s *backend) publish(state string) {
	s.world.store.Publish(s.name, s.entry(state))
	s.world.logf("server %s (%s, %s): entry written, %s", s.name, s.service, s.zone, state)
}

func (s *backend) entry(state string) fakes.Entry {
	return fakes.Entry{Backend: s.service, Addr: s.server.Address.String(), Zone: s.zone, Version: "v1", Slots: 7, State: state, Seq: 1, Born: s.born}
}

// start starts a process with the command of the deploy file.
func (w *world) start(name, role, settings string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	defer output.Close()
	p := &process{name: name, cmd: exec.Command(w.program, role, "--settings", settings), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	w.processes = append(w.processes, p)
	w.logf("%s started, process %d", name, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		w.logf("%s ended: %v", name, err)
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to a process.
func (w *world) signal(p *process, s syscall.Signal) {
	w.logf("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// addCaller starts the caller host. The router sends its packets to the balancer that
// routeTo has chosen.
func (w *world) addCaller() error {
	var err error
	w.caller, err = w.newCaller(1, w.service())
	return err
}

// newCaller starts a caller host that opens flows to an address.
func (w *world) newCaller(n int, service netip.AddrPort) (*fakes.Caller, error) {
	c := &fakes.Caller{Address: w.addr(3, n, w.ports.packets), Service: service, Route: func(netip.AddrPort) netip.AddrPort {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.addr(1, w.balancers[w.routed].index, w.ports.packets)
	}}
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	w.closers = append(w.closers, c.Stop)
	return c, nil
}

// routeTo makes the router send all packets to a balancer.
func (w *world) routeTo(b *balancer) {
	w.mu.Lock()
	w.routed = b.index - 1
	w.mu.Unlock()
	w.logf("router: packets go to %s", b.name())
}

// openFlow is an open flow and the server that holds it.
type openFlow struct {
	flow   *fakes.Flow
	server *backend
	seq    int
}

// open opens a flow and sends a first request.
func (w *world) open() (*openFlow, error) { return w.openFrom(w.caller) }

// openFrom does the same from a caller host.
func (w *world) openFrom(c *fakes.Caller) (*openFlow, error) {
	flow, err := c.Open()
	if err != nil {
		w.logf("flow not opened: %v", err)
		return nil, err
	}
	f := &openFlow{flow: flow}
	name, err := f.flow.SendRequest(f.nextRequest(), 2*time.Second)
	w.logf("flow %v: request %d answered by %q, err %v", flow.Local(), f.seq, name, err)
	if err != nil {
		return nil, err
	}
	for _, s := range w.servers {
		if s.name == name {
			f.server = s
		}
	}
	if f.server == nil {
		return nil, fmt.Errorf("%w: answer of an unknown server %q", errSetup, name)
	}
	return f, nil
}

func (f *openFlow) nextRequest() string {
	f.seq++
	return fmt.Sprintf("POST /%d/%d", f.flow.Local().Port(), f.seq)
}

// use sends a request on an open flow. It reports whether the rule FLOW was broken: the
// caller got a reset, which the stand-ins for servers never send, while the flow's server
// lives and holds the flow.
func (w *world) use(f *openFlow) (broken bool) {
	request := f.nextRequest()
	name, err := f.flow.SendRequest(request, 2*time.Second)
	holds := f.server.server.HoldsFlow(f.flow.Local())
	w.logf("flow %v: request %d answered by %q, err %v; server %s has run it %d times, holds the flow: %v",
		f.flow.Local(), f.seq, name, err, f.server.name, f.server.server.Runs(request), holds)
	return errors.Is(err, fakes.ErrReset) && holds
}

// close ends all processes and stand-ins, and appends the logs of the processes to the
// record.
func (w *world) close() {
	for _, p := range w.processes {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		if err == nil {
			fmt.Fprintf(w.record, "\n--- %s\n%s", filepath.Base(path), raw)
		}
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}
