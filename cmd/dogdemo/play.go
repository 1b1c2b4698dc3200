package main

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/stand/caller"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"github.com/cockroachdb/errors"
)

// The changes of the demonstration, by the time since the callers began.
const (
	killBalancerAt = 2 * time.Second
	joinBalancerAt = 3 * time.Second
	drainServerAt  = 4 * time.Second
	coldServerAt   = 6 * time.Second
	upgradeAgentAt = 8 * time.Second
	centreOutAt    = 10 * time.Second
	platformDownAt = 12 * time.Second
	centreInAt     = 15 * time.Second
	stopCallersAt  = 20 * time.Second
	settleTime     = 4 * time.Second
)

// fabricLag is the age of the fabric's list of balancers.
const fabricLag = 300 * time.Millisecond

// script plays one deployment and remembers when things changed.
type script struct {
	fleet   *fleet
	began   time.Time
	outAt   time.Time
	coldAt  time.Time
	drained conf.BackendServer
	cold    conf.BackendServer
	upgrade conf.BackendServer
	centre  string
	outLast int64 // last packet at a server of the data centre while it was out
	before  []serverView
}

// play runs the whole demonstration on one deployment.
func play(f *fleet, seed uint64) (Result, error) {
	s := &script{fleet: f, centre: f.set.DataCentres[2].Name}
	largest := largestService(f.set)
	s.drained, s.cold, s.upgrade = largest[1], largest[3], largest[4]
	s.say("starting %d agents and servers, %d balancers", len(f.set.Servers), len(f.set.Balancers))
	if err := f.startAll(seed); err != nil {
		return Result{}, err
	}
	if err := f.setBalancers(); err != nil {
		return Result{}, err
	}
	time.Sleep(time.Duration(timing.HoldMs+500) * time.Millisecond)
	if err := s.startCaller(seed); err != nil {
		return Result{}, err
	}
	s.began = time.Now()
	if err := s.changes(); err != nil {
		return Result{}, err
	}
	s.say("callers stop")
	if err := f.post(f.callerHost()+":8080", "/control/stop", nil); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	if err := f.report(); err != nil {
		return Result{}, err
	}
	return s.judge()
}

// largestService lists the servers of the service that has the most.
func largestService(set conf.Set) []conf.BackendServer {
	var most []conf.BackendServer
	for _, service := range set.Services {
		if servers := set.ServersOf(service.Name); len(servers) > len(most) {
			most = servers
		}
	}
	return most
}

func (s *script) say(format string, args ...any) {
	at := 0.0
	if !s.began.IsZero() {
		at = time.Since(s.began).Seconds()
	}
	fmt.Fprintf(os.Stderr, "%5.1fs %s: %s\n", at, s.fleet.name, fmt.Sprintf(format, args...))
}

// step is one change and its time.
type step struct {
	at   time.Duration
	text string
	do   func() error
}

func (s *script) changes() error {
	f := s.fleet
	balancers := f.set.Balancers
	last := balancers[len(balancers)-1]
	steps := []step{
		{killBalancerAt - 10*time.Millisecond, "look at the balance", s.lookBefore},
		{killBalancerAt, "balancer " + balancers[0].Name + " is killed", func() error {
			return f.stop(balancers[0].Name, syscall.SIGKILL)
		}},
		{killBalancerAt + fabricLag, "the fabric notices", f.setBalancers},
		{joinBalancerAt, "balancer " + last.Name + " joins", func() error {
			return errors.Join(f.startBalancer(last), f.retry(f.ready), f.setBalancers())
		}},
		{drainServerAt, "server " + s.drained.Name + " drains", func() error {
			return f.override("90-drain.json", "BackendServers", s.drained.Name, "State", "Leaving")
		}},
		{coldServerAt, "server " + s.cold.Name + " falls and returns cold", func() error {
			s.coldAt = time.Now()
			return f.post(f.serverHost(s.cold)+":8080", "/control/restart", nil)
		}},
		{upgradeAgentAt, "agent of " + s.upgrade.Name + " is upgraded", func() error {
			return errors.Join(f.stop("agent-"+s.upgrade.Name, syscall.SIGTERM), f.startAgent(s.upgrade))
		}},
		{centreOutAt, "data centre " + s.centre + " goes out", func() error {
			s.outAt = time.Now()
			return f.override("91-out.json", "DataCentres", s.centre, "State", "Out")
		}},
		{platformDownAt, "the platform goes down", func() error {
			return f.post(f.platformAddr(), "/control/mode", map[string]bool{"Down": true})
		}},
		{centreInAt - time.Second, "the platform is back", func() error {
			return f.post(f.platformAddr(), "/control/mode", map[string]bool{"Down": false})
		}},
		{centreInAt - 100*time.Millisecond, "look at the data centre", s.lookOut},
		{centreInAt, "data centre " + s.centre + " comes back", func() error {
			return f.override("91-out.json", "DataCentres", s.centre, "State", "In")
		}},
		{stopCallersAt, "end of the changes", func() error { return nil }},
	}
	for _, step := range steps {
		time.Sleep(time.Until(s.began.Add(step.at)))
		s.say("%s", step.text)
		if err := step.do(); err != nil {
			return errors.Wrap(err, step.text)
		}
	}
	return nil
}

// startCaller writes the load of the deployment and starts its caller.
func (s *script) startCaller(seed uint64) error {
	f := s.fleet
	load := &caller.Caller{Host: netip.MustParseAddr(f.callerHost()), Fabric: netip.MustParseAddr(f.fabricHost()), Seed: seed}
	for _, service := range f.set.Services {
		addLoad(load, f.set, service)
	}
	path, err := f.settings("caller", load)
	if err != nil {
		return err
	}
	return f.start("caller", "dogstand", "caller", "--control", f.callerHost()+":8080", "--load", path)
}

// addLoad puts streams on the service's stream endpoint and requests on the
// other: non-idempotent ones where the service has them, else large answers.
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
