package soak

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/platform/stand"
)

// Bounds of the promises, from the users' pages.
const (
	drainBound  = 3 * time.Second
	evacuateBy  = 5 * time.Second
	steadyFor   = 9 * time.Second // after a fault of the store; the view's age and a new listing
	settleTime  = 6 * time.Second // without faults, at the end of a run
	askTimeout  = 2 * time.Second
	callerPause = 20 * time.Millisecond
	// openQuota is the share of flows that must open once no fault is left.
	openQuota = 0.99
)

// checks collects what went wrong and what the checks need to know.
type checks struct {
	mu        sync.Mutex
	failures  []string
	storeAt   time.Time            // last fault of the store
	out       map[string]time.Time // data centres taken out
	Opened    int
	Asked     int
	Refused   int
	Silent    int
	calm      bool
	calmTries int
	calmOpen  int
}

func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *checks) storeTouched() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAt = time.Now()
}

func (c *checks) takeOut(centre string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) > 0 {
		return false
	}
	c.out = map[string]time.Time{centre: time.Now()}
	return true
}

func (c *checks) takeBack(centre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.out, centre)
}

// opened checks that a server may have got the flow that has just opened there.
func (c *checks) opened(h *host) {
	// The server calls this while it handles a packet; the host may be locked.
	if !h.mu.TryLock() {
		return
	}
	state, since := h.state, h.since
	h.mu.Unlock()
	c.mu.Lock()
	steady := time.Since(c.storeAt) > steadyFor
	out, evacuated := c.out[h.centre]
	c.mu.Unlock()
	if steady && state == "draining" && time.Since(since) > drainBound {
		c.fail("a flow opened at %s, which has drained for %v", h.name, time.Since(since))
	}
	if steady && evacuated && time.Since(out) > evacuateBy {
		c.fail("a flow opened at %s %v after %s was taken out", h.name, time.Since(out), h.centre)
	}
}

// Result is the outcome of a run.
type Result struct {
	Failures []string
	Opened   int // flows
	Asked    int // requests answered
	Refused  int // flows reset
	Silent   int // requests without an answer in time
}

// Run plays faults for the length of the run, lets everything settle and checks
// that callers are served again.
func (s *Soak) Run() (Result, error) {
	if max(s.Balancers, s.Servers, s.Callers) > mostOfAKind || min(s.Balancers, s.Servers, s.Callers) < 1 {
		return Result{}, fmt.Errorf("there must be 1 to %d balancers, servers and callers", mostOfAKind)
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	done := make(chan struct{})
	go s.probe(done)
	time.Sleep(time.Second)
	s.end = time.Now().Add(s.Length)
	var callers, trouble sync.WaitGroup
	for i := range s.Callers {
		c := &stand.Caller{Address: s.addr(3, i, packetPort), Service: service, Route: s.route}
		if err := c.Start(); err != nil {
			return Result{}, err
		}
		defer c.Stop()
		callers.Go(func() { s.call(c, i, done) })
	}
	s.injure(&trouble)
	trouble.Wait()
	time.Sleep(settleTime)
	s.checks.mu.Lock()
	s.checks.calm = true
	s.checks.mu.Unlock()
	time.Sleep(2 * time.Second)
	close(done)
	callers.Wait()
	return s.result(), nil
}

// injure starts faults in overlapping series until the run's length is over.
func (s *Soak) injure(trouble *sync.WaitGroup) {
	for time.Now().Before(s.end) {
		f := faults[s.pick(len(faults))]
		s.Report("%6.1f s left: %s", time.Until(s.end).Seconds(), f.name)
		trouble.Go(func() { f.run(s) })
		time.Sleep(s.between(200*time.Millisecond, 2500*time.Millisecond))
	}
}

// call opens flows and asks on them until done. Flows stay open for many
// requests, so that they live through faults.
func (s *Soak) call(c *stand.Caller, number int, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		flow, err := c.Open()
		s.checks.counted(err)
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		s.talk(flow, fmt.Sprintf("%d-%d", number, n), 1+s.pick(100), done)
		flow.Close()
	}
}

func (c *checks) counted(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calm {
		c.calmTries++
	}
	switch {
	case err == nil:
		c.Opened++
		if c.calm {
			c.calmOpen++
		}
	case errors.Is(err, stand.ErrReset):
		c.Refused++
	case errors.Is(err, stand.ErrForged):
		c.failures = append(c.failures, "a caller got a packet that its sender did not write so")
	}
}

// talk sends requests on one flow and checks what comes back.
func (s *Soak) talk(flow *stand.Flow, name string, requests int, done <-chan struct{}) {
	server := ""
	for r := range requests {
		select {
		case <-done:
			return
		default:
		}
		request := fmt.Sprintf("%s-%d", name, r)
		answered, err := flow.Ask(request, askTimeout)
		if err != nil {
			s.ended(flow, server, request, err)
			return
		}
		if server != "" && answered != server {
			s.checks.fail("flow %v moved from %s to %s", flow.Local(), server, answered)
		}
		server = answered
		s.ran(request)
		s.checks.mu.Lock()
		s.checks.Asked++
		s.checks.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// ended checks a flow that broke off: a reset is right only if its server has
// forgotten it.
func (s *Soak) ended(flow *stand.Flow, server, request string, err error) {
	s.ran(request)
	switch {
	case errors.Is(err, stand.ErrForged):
		s.checks.fail("flow %v got a packet that its sender did not write so", flow.Local())
	case errors.Is(err, stand.ErrReset) && s.holds(server, flow.Local()):
		s.checks.fail("flow %v was reset, but %s holds it", flow.Local(), server)
	case errors.Is(err, stand.ErrReset):
		s.checks.mu.Lock()
		s.checks.Refused++
		s.checks.mu.Unlock()
	case errors.Is(err, stand.ErrSilent):
		s.checks.mu.Lock()
		s.checks.Silent++
		s.checks.mu.Unlock()
	}
}

func (s *Soak) holds(server string, caller netip.AddrPort) bool {
	for _, h := range s.hosts {
		h.mu.Lock()
		held := h.name == server && h.state != "gone" && h.server.Holds(caller)
		h.mu.Unlock()
		if held {
			return true
		}
	}
	return false
}

// ran checks that a request has run once at most.
func (s *Soak) ran(request string) {
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
		if n := h.server.Forged(); n > 0 {
			s.checks.fail("%s got %d packets that their senders did not write so", h.name, n)
		}
		h.mu.Unlock()
	}
	c := &s.checks
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calmTries == 0 || float64(c.calmOpen) < openQuota*float64(c.calmTries) {
		c.failures = append(c.failures, fmt.Sprintf("after the last fault %d of %d flows opened", c.calmOpen, c.calmTries))
	}
	return Result{Failures: c.failures, Opened: c.Opened, Asked: c.Asked, Refused: c.Refused, Silent: c.Silent}
}
