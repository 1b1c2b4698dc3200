package main

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/fakes/caller"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"github.com/cockroachdb/errors"
)

// When each step of the demonstration begins, counted from the start of the callers.
const (
	killBalancerAt        = 2 * time.Second
	joinBalancerAt        = 3 * time.Second
	drainServerAt         = 4 * time.Second
	restartServerAt       = 6 * time.Second
	upgradeAgentAt        = 8 * time.Second
	takeDataCentreOutAt   = 10 * time.Second
	stopPlatformAt        = 12 * time.Second
	bringDataCentreBackAt = 15 * time.Second
	stopCallersAt         = 20 * time.Second

	// settleTime is the time from the stop of the callers to the collection of the
	// result.
	settleTime = 4 * time.Second
)

// fabricLag is how long the fabric still sends packets to a balancer that was killed.
const fabricLag = 300 * time.Millisecond

// scenario runs the demonstration on one deployment and records what the result needs.
type scenario struct {
	fleet                *fleet
	callersStartedAt     time.Time
	outSince             time.Time // when the data centre was taken out of service
	restartedAt          time.Time
	drainedServer        conf.BackendServer
	restartedServer      conf.BackendServer
	upgradedServer       conf.BackendServer
	dataCentre           string // data centre that is taken out of service
	lastPacketAfterOutMs int64  // from outSince to the last packet at a server of the data centre
	statsBeforeFaults    []serverStats
}

// runScenario runs the whole demonstration on one deployment.
func runScenario(f *fleet, seed uint64) (Result, error) {
	s := &scenario{fleet: f, dataCentre: f.config.DataCentres[2].Name}
	largest := serversOfLargestService(f.config)
	s.drainedServer, s.restartedServer, s.upgradedServer = largest[1], largest[3], largest[4]
	s.logf("starting %d agents and servers, %d balancers", len(f.config.Servers), len(f.config.Balancers))
	if err := f.startInitial(seed); err != nil {
		return Result{}, err
	}
	if err := f.updateFabric(); err != nil {
		return Result{}, err
	}
	time.Sleep(time.Duration(timing.HoldMs+500) * time.Millisecond)
	if err := s.startCaller(seed); err != nil {
		return Result{}, err
	}
	s.callersStartedAt = time.Now()
	if err := s.runSteps(); err != nil {
		return Result{}, err
	}
	s.logf("the callers stop")
	if err := f.post(f.callerHost()+":8080", "/control/stop", nil); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	if err := f.runOperatorTools(); err != nil {
		return Result{}, err
	}
	return s.collectResult()
}

// serversOfLargestService returns the servers of the service with the most servers.
func serversOfLargestService(set conf.Set) []conf.BackendServer {
	var largest []conf.BackendServer
	for _, service := range set.Services {
		if servers := set.ServersOf(service.Name); len(servers) > len(largest) {
			largest = servers
		}
	}
	return largest
}

// logf prints a progress line with the seconds since the start of the callers.
func (s *scenario) logf(format string, args ...any) {
	at := 0.0
	if !s.callersStartedAt.IsZero() {
		at = time.Since(s.callersStartedAt).Seconds()
	}
	fmt.Fprintf(os.Stderr, "%5.1fs %s: %s\n", at, s.fleet.name, fmt.Sprintf(format, args...))
}

// step is one step of the demonstration. It begins at the given time after the start of
// the callers.
type step struct {
	at          time.Duration
	description string
	run         func() error
}

// runSteps runs the steps of the demonstration at their times.
func (s *scenario) runSteps() error {
	f := s.fleet
	balancers := f.config.Balancers
	last := balancers[len(balancers)-1]
	steps := []step{
		{killBalancerAt - 10*time.Millisecond, "record the balance of flows", s.recordBalance},
		{killBalancerAt, "balancer " + balancers[0].Name + " is killed", func() error {
			return f.stop(balancers[0].Name, syscall.SIGKILL)
		}},
		{killBalancerAt + fabricLag, "the fabric removes the killed balancer", f.updateFabric},
		{joinBalancerAt, "balancer " + last.Name + " is added", func() error {
			return errors.Join(f.startBalancer(last), f.retry(f.checkReady), f.updateFabric())
		}},
		{drainServerAt, "server " + s.drainedServer.Name + " is drained", func() error {
			return f.publishOverride("90-drain.json", "BackendServers", s.drainedServer.Name, "State", "Leaving")
		}},
		{restartServerAt, "server " + s.restartedServer.Name + " restarts and is cold", func() error {
			s.restartedAt = time.Now()
			return f.post(f.serverHost(s.restartedServer)+":8080", "/control/restart", nil)
		}},
		{upgradeAgentAt, "agent of " + s.upgradedServer.Name + " is restarted as for an upgrade", func() error {
			return errors.Join(f.stop("agent-"+s.upgradedServer.Name, syscall.SIGTERM), f.startAgent(s.upgradedServer))
		}},
		{takeDataCentreOutAt, "data centre " + s.dataCentre + " is taken out of service", func() error {
			s.outSince = time.Now()
			return f.publishOverride("91-out.json", "DataCentres", s.dataCentre, "State", "Out")
		}},
		{stopPlatformAt, "the platform becomes unavailable", func() error {
			return f.post(f.platformAddr(), "/control/mode", map[string]bool{"Down": true})
		}},
		{bringDataCentreBackAt - time.Second, "the platform is available again", func() error {
			return f.post(f.platformAddr(), "/control/mode", map[string]bool{"Down": false})
		}},
		{bringDataCentreBackAt - 100*time.Millisecond, "record the last packet at the data centre that is out", s.recordLastPacket},
		{bringDataCentreBackAt, "data centre " + s.dataCentre + " is back in service", func() error {
			return f.publishOverride("91-out.json", "DataCentres", s.dataCentre, "State", "In")
		}},
		{stopCallersAt, "all steps done", func() error { return nil }},
	}
	for _, step := range steps {
		time.Sleep(time.Until(s.callersStartedAt.Add(step.at)))
		s.logf("%s", step.description)
		if err := step.run(); err != nil {
			return errors.Wrap(err, step.description)
		}
	}
	return nil
}

// startCaller writes the load file of the deployment and starts its caller.
func (s *scenario) startCaller(seed uint64) error {
	f := s.fleet
	load := &caller.Caller{Host: netip.MustParseAddr(f.callerHost()), Fabric: netip.MustParseAddr(f.fabricHost()), Seed: seed}
	for _, service := range f.config.Services {
		addLoad(load, f.config, service)
	}
	path, err := f.writeSettings("caller", load)
	if err != nil {
		return err
	}
	return f.start("caller", "dogstand", "caller", "--control", f.callerHost()+":8080", "--load", path)
}

// addLoad adds streams to the service's endpoints for streams and requests to the
// others. The requests are non-idempotent if the service has such methods. Otherwise
// they have large answers.
func addLoad(load *caller.Caller, set conf.Set, service conf.Service) {
	slots := 0
	for _, server := range set.ServersOf(service.Name) {
		slots += server.Slots
	}
	for _, e := range service.Endpoints {
		target := netip.AddrPortFrom(netip.MustParseAddr(service.Address), uint16(e.Port))
		if e.Carries == conf.CarryStreams {
			load.Streams = append(load.Streams, caller.Streams{
				Service: service.Name, Target: target, Count: 700, EveryMs: 500, PerSecond: 400,
			})
			continue
		}
		requests := caller.Requests{
			Service: service.Name, Target: target, Method: "fetch", Bytes: 20_000,
			PerSecond: max(4, slots), TimeoutMs: int(service.Deadline()), ResendMs: 400,
		}
		if len(service.NonIdempotent) > 0 {
			requests.Method, requests.NonIdempotent = service.NonIdempotent[0], true
			requests.Bytes, requests.TwinIn = 200, 5
		}
		load.Requests = append(load.Requests, requests)
	}
}
