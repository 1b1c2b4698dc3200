package soak

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/platform/fakes"
)

// Limits that the checks enforce (from the users' requirements) and intervals of a run.
const (
	drainLimit      = 3 * time.Second // from publishing a drain to the last new flow
	evacuationLimit = 5 * time.Second // from the evacuation order to the last new flow
	// storeRecoveryTime is how long after a store fault drains and evacuations are not
	// checked. It covers the permitted age of a balancer's view and a new listing.
	storeRecoveryTime = 9 * time.Second
	settleTime        = 6 * time.Second // from the last fault to the final check
	requestTimeout    = 2 * time.Second
	callerPause       = 20 * time.Millisecond // between requests, and after a failed open
	// minOpenedShare is the share of flows that must open after settleTime.
	minOpenedShare = 0.99
)

// checks holds the failures found, the counters of the result and the fault state that
// the checks depend on.
type checks struct {
	mu               sync.Mutex
	failures         []string
	lastStoreFault   time.Time            // start or end of the latest one
	evacuatedSince   map[string]time.Time // by data centre
	flowsOpened      int
	requestsAnswered int
	flowsReset       int
	requestsTimedOut int
	settled          bool // settleTime has passed since the last fault
	settledAttempts  int  // flows tried since then
	settledOpened    int  // flows opened since then
}

func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *checks) recordStoreFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStoreFault = time.Now()
}

// beginEvacuation records an evacuation. It returns false if one is under way: only one
// data centre is evacuated at a time.
func (c *checks) beginEvacuation(dataCentre string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.evacuatedSince) > 0 {
		return false
	}
	c.evacuatedSince = map[string]time.Time{dataCentre: time.Now()}
	return true
}

func (c *checks) endEvacuation(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedSince, dataCentre)
}

// checkNewFlow checks that a server was eligible for the flow that it just opened: not
// draining for longer than drainLimit, nor in a data centre that has been evacuated for
// longer than evacuationLimit.
func (c *checks) checkNewFlow(h *serverHost) {
	// The server calls this with its own lock held, and another goroutine may hold the
	// host's lock while it waits for the server's: waiting here could deadlock.
	if !h.mu.TryLock() {
		return
	}
	state, publishedAt := h.serverState, h.publishedAt
	h.mu.Unlock()
	c.mu.Lock()
	storeStable := time.Since(c.lastStoreFault) > storeRecoveryTime
	evacuationStart, evacuated := c.evacuatedSince[h.dataCentre]
	c.mu.Unlock()
	if storeStable && state == "draining" && time.Since(publishedAt) > drainLimit {
		c.fail("flow opened at %s, which has been draining for %v", h.serverName, time.Since(publishedAt))
	}
	if storeStable && evacuated && time.Since(evacuationStart) > evacuationLimit {
		c.fail("flow opened at %s %v after the evacuation of %s", h.serverName, time.Since(evacuationStart), h.dataCentre)
	}
}

// Result is the outcome of a run.
type Result struct {
	Failures         []string
	FlowsOpened      int
	RequestsAnswered int
	FlowsReset       int // while opening or afterwards
	RequestsTimedOut int
}

// Run injects faults for FaultDuration, waits for settleTime and checks that callers
// are served again. The error reports a run that could not start; failed checks are in
// the Result.
func (s *Soak) Run() (Result, error) {
	if max(s.BalancerCount, s.ServerCount, s.CallerCount) > maxPerRole || min(s.BalancerCount, s.ServerCount, s.CallerCount) < 1 {
		return Result{}, fmt.Errorf("the numbers of balancers, servers and callers must each be between 1 and %d", maxPerRole)
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	done := make(chan struct{})
	go s.probeBalancers(done)
	time.Sleep(time.Second)
	s.faultDeadline = time.Now().Add(s.FaultDuration)
	var callers, running sync.WaitGroup
	for i := range s.CallerCount {
		c := &fakes.Caller{Address: s.addr(3, i, packetPort), Service: serviceAddr, Route: s.routeFlow}
		if err := c.Start(); err != nil {
			return Result{}, err
		}
		defer c.Stop()
		callers.Go(func() { s.runCaller(c, i, done) })
	}
	s.injectFaults(&running)
	running.Wait()
	time.Sleep(settleTime)
	s.checks.mu.Lock()
	s.checks.settled = true
	s.checks.mu.Unlock()
	time.Sleep(2 * time.Second)
	close(done)
	callers.Wait()
	return s.result(), nil
}

// injectFaults starts random faults, which may overlap, until the fault deadline.
func (s *Soak) injectFaults(running *sync.WaitGroup) {
	for time.Now().Before(s.faultDeadline) {
		f := faults[s.randomInt(len(faults))]
		s.Logf("%6.1f s left: %s", time.Until(s.faultDeadline).Seconds(), f.name)
		running.Go(func() { f.run(s) })
		time.Sleep(s.randomDuration(200*time.Millisecond, 2500*time.Millisecond))
	}
}

// runCaller opens flows and sends requests on them until done is closed. A flow carries
// up to 100 requests, so that many flows are open when a fault occurs.
func (s *Soak) runCaller(c *fakes.Caller, number int, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		flow, err := c.Open()
		s.checks.recordOpen(err)
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		s.sendRequests(flow, fmt.Sprintf("%d-%d", number, n), 1+s.randomInt(100), done)
		flow.Close()
	}
}

// recordOpen counts the outcome of an attempt to open a flow.
func (c *checks) recordOpen(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled {
		c.settledAttempts++
	}
	switch {
	case err == nil:
		c.flowsOpened++
		if c.settled {
			c.settledOpened++
		}
	case errors.Is(err, fakes.ErrReset):
		c.flowsReset++
	case errors.Is(err, fakes.ErrModified):
		c.failures = append(c.failures, "a caller received a modified packet while it opened a flow")
	}
}

// sendRequests sends requests on a flow, one at a time. It checks that one server answers
// all of them and that each has run at most once.
func (s *Soak) sendRequests(flow *fakes.Flow, name string, requests int, done <-chan struct{}) {
	lastServer := ""
	for r := range requests {
		select {
		case <-done:
			return
		default:
		}
		request := fmt.Sprintf("%s-%d", name, r)
		server, err := flow.SendRequest(request, requestTimeout)
		if err != nil {
			s.checkBrokenFlow(flow, lastServer, request, err)
			return
		}
		if lastServer != "" && server != lastServer {
			s.checks.fail("flow %v moved from %s to %s", flow.Local(), lastServer, server)
		}
		lastServer = server
		s.checkRanOnce(request)
		s.checks.mu.Lock()
		s.checks.requestsAnswered++
		s.checks.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// checkBrokenFlow checks a flow on which a request failed: a reset is correct only if the
// flow's server no longer holds the flow.
func (s *Soak) checkBrokenFlow(flow *fakes.Flow, server, request string, err error) {
	s.checkRanOnce(request)
	switch {
	case errors.Is(err, fakes.ErrModified):
		s.checks.fail("flow %v received a modified packet", flow.Local())
	case errors.Is(err, fakes.ErrReset) && s.serverHoldsFlow(server, flow.Local()):
		s.checks.fail("flow %v was reset although %s holds it", flow.Local(), server)
	case errors.Is(err, fakes.ErrReset):
		s.checks.mu.Lock()
		s.checks.flowsReset++
		s.checks.mu.Unlock()
	case errors.Is(err, fakes.ErrTimeout):
		s.checks.mu.Lock()
		s.checks.requestsTimedOut++
		s.checks.mu.Unlock()
	}
}

// serverHoldsFlow reports whether a server instance is running and holds the flow from
// the caller's address.
func (s *Soak) serverHoldsFlow(server string, caller netip.AddrPort) bool {
	for _, h := range s.hosts {
		h.mu.Lock()
		held := h.serverName == server && h.serverState != "gone" && h.server.HoldsFlow(caller)
		h.mu.Unlock()
		if held {
			return true
		}
	}
	return false
}

// checkRanOnce checks that a request has run at most once across all servers.
func (s *Soak) checkRanOnce(request string) {
	runs := 0
	for _, h := range s.hosts {
		h.mu.Lock()
		runs += h.server.Runs(request)
		h.mu.Unlock()
	}
	if runs > 1 {
		s.checks.fail("request %s ran %d times", request, runs)
	}
}

func (s *Soak) result() Result {
	for _, h := range s.hosts {
		h.mu.Lock()
		if n := h.server.ModifiedPackets(); n > 0 {
			s.checks.fail("%s received %d modified or returned packets", h.serverName, n)
		}
		h.mu.Unlock()
	}
	c := &s.checks
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settledAttempts == 0 || float64(c.settledOpened) < minOpenedShare*float64(c.settledAttempts) {
		c.failures = append(c.failures, fmt.Sprintf("after the faults had ended, only %d of %d flows opened", c.settledOpened, c.settledAttempts))
	}
	return Result{Failures: c.failures, FlowsOpened: c.flowsOpened, RequestsAnswered: c.requestsAnswered, FlowsReset: c.flowsReset, RequestsTimedOut: c.requestsTimedOut}
}
