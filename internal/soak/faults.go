package soak

import (
	"os"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/fakes/proxy"
	"dogwoodlanding.example/dogwood/platform/fakes"
)

// fault is a kind of fault that runs inject. run returns when the fault has ended.
type fault struct {
	name string
	run  func(s *Soak)
}

// faults lists the faults that a run draws from. A seed selects them by index, so a
// change of their order or number changes what the recorded seeds replay.
var faults = []fault{
	{"balancer terminated (SIGTERM)", func(s *Soak) { s.restart(&s.pickBalancer().process, syscall.SIGTERM) }},
	{"balancer killed (SIGKILL)", func(s *Soak) { s.restart(&s.pickBalancer().process, syscall.SIGKILL) }},
	{"balancer suspended (SIGSTOP)", func(s *Soak) { s.suspend(&s.pickBalancer().process) }},
	{"agent terminated (SIGTERM)", func(s *Soak) { s.restart(s.pickHost().agent, syscall.SIGTERM) }},
	{"agent killed (SIGKILL)", func(s *Soak) { s.restart(s.pickHost().agent, syscall.SIGKILL) }},
	{"agent suspended (SIGSTOP)", func(s *Soak) { s.suspend(s.pickHost().agent) }},
	{"all agents killed (SIGKILL)", func(s *Soak) {
		for _, h := range s.hosts {
			go s.restart(h.agent, syscall.SIGKILL)
		}
	}},
	{"store answers 503", func(s *Soak) { s.injectStoreFault(fakes.Busy) }},
	{"store does not answer", func(s *Soak) { s.injectStoreFault(fakes.Unresponsive) }},
	{"store closes connections", func(s *Soak) { s.injectStoreFault(fakes.ConnectionClosed) }},
	{"store discards its history", func(s *Soak) { s.store.DiscardHistory() }},
	{"all server entries expire", func(s *Soak) { s.expireEntries() }},
	{"store connection slow", func(s *Soak) { s.injectConnectionFault(proxy.Slow) }},
	{"store connection reset", func(s *Soak) { s.injectConnectionFault(proxy.Reset) }},
	{"store connection loses all data", func(s *Soak) { s.injectConnectionFault(proxy.Silence) }},
	{"store connection loses responses", func(s *Soak) { s.injectConnectionFault(proxy.OneWay) }},
	{"server crashes", func(s *Soak) { s.crashServer() }},
	{"server drained and replaced", func(s *Soak) { s.drainServer() }},
	{"data centre evacuated", func(s *Soak) { s.evacuateDataCentre() }},
	{"balancer and agent reload settings (SIGHUP)", func(s *Soak) { s.pickBalancer().signal(syscall.SIGHUP); s.pickHost().agent.signal(syscall.SIGHUP) }},
	{"store restored from an older copy", func(s *Soak) { s.restoreStore() }},
}

func (s *Soak) pickBalancer() *balancer { return s.balancers[s.randomInt(len(s.balancers))] }
func (s *Soak) pickHost() *serverHost   { return s.hosts[s.randomInt(len(s.hosts))] }

// randomInt returns a random number below n. The lock is needed because concurrent
// faults and callers share the random source.
func (s *Soak) randomInt(n int) int {
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	return s.random.IntN(n)
}

// randomDuration returns a random duration of at least shortest and below longest.
func (s *Soak) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.randomInt(int(longest-shortest)))
}

// restart ends a process by a signal and starts it again. Faults overlap, so a lock
// serializes the restarts of a process: a second one would otherwise overwrite the
// record of the process that the first one started.
func (s *Soak) restart(p *process, sig os.Signal) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.signal(sig)
	p.wait()
	time.Sleep(s.randomDuration(100*time.Millisecond, 900*time.Millisecond))
	if err := p.start(s.Program, s.Dir); err != nil {
		s.checks.fail("%s failed to start: %v", p.name, err)
	}
	p.recordFault()
}

func (p *process) recordFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
}

// suspend stops a process for 0.3 to 4 s and lets it continue.
func (s *Soak) suspend(p *process) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(s.randomDuration(300*time.Millisecond, 4*time.Second))
	p.signal(syscall.SIGCONT)
}

// injectStoreFault makes the store fail for 0.5 to 4 s.
func (s *Soak) injectStoreFault(trouble fakes.Trouble) {
	s.checks.recordStoreFault()
	s.store.SetTrouble(trouble)
	time.Sleep(s.randomDuration(500*time.Millisecond, 4*time.Second))
	s.store.SetTrouble(fakes.Healthy)
	s.checks.recordStoreFault()
}

// restoreStore ends an outage of the store with a copy that is 0.5 to 4 s old. Up to a
// second later the servers and the operator write again what it lacks.
func (s *Soak) restoreStore() {
	s.store.Save()
	time.Sleep(s.randomDuration(300*time.Millisecond, 3*time.Second))
	s.checks.recordStoreFault()
	s.store.SetTrouble(fakes.Busy)
	time.Sleep(s.randomDuration(200*time.Millisecond, time.Second))
	s.store.Restore()
	s.store.SetTrouble(fakes.Healthy)
	time.Sleep(s.randomDuration(0, time.Second))
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.serverState == "gone" {
			s.store.Withdraw(h.serverName)
		} else {
			s.publish(h)
		}
		h.mu.Unlock()
	}
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	for _, h := range s.hosts {
		_, evacuated := s.checks.evacuatedSince[h.dataCentre]
		s.store.Evacuate(h.dataCentre, evacuated)
	}
	s.checks.lastStoreFault = time.Now()
}

// expireEntries removes the entries of all servers for a second, as an outage of the
// store does.
func (s *Soak) expireEntries() {
	s.checks.recordStoreFault()
	for _, h := range s.hosts {
		h.mu.Lock()
		s.store.Withdraw(h.serverName)
		h.mu.Unlock()
	}
	time.Sleep(time.Second)
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.serverState != "gone" {
			s.publish(h)
		}
		h.mu.Unlock()
	}
	s.checks.recordStoreFault()
}

// injectConnectionFault disturbs the connection between one balancer and the store for
// 0.5 to 4 s.
func (s *Soak) injectConnectionFault(mode proxy.Mode) {
	b := s.pickBalancer()
	s.checks.recordStoreFault()
	b.proxy.SetMode(mode)
	time.Sleep(s.randomDuration(500*time.Millisecond, 4*time.Second))
	b.proxy.SetMode(proxy.Pass)
	s.checks.recordStoreFault()
}

// crashServer ends a server without draining it and starts a new instance.
func (s *Soak) crashServer() {
	h := s.pickHost()
	s.replaceServer(h, s.randomDuration(0, 2*time.Second))
}

// replaceServer ends the current instance of a server and starts the next one after
// downTime. A lock keeps two faults from replacing the same server concurrently.
func (s *Soak) replaceServer(h *serverHost, downTime time.Duration) {
	h.replaceMu.Lock()
	defer h.replaceMu.Unlock()
	h.mu.Lock()
	h.server.Stop()
	h.serverState, h.serverChanged = "gone", time.Now()
	oldName := h.serverName
	h.mu.Unlock()
	time.Sleep(downTime)
	s.store.Withdraw(oldName)
	if err := s.startServer(h); err != nil {
		s.checks.fail("server of host %d failed to start: %v", h.index, err)
	}
}

// drainServer takes a server out of service as planned maintenance does: the server
// publishes that it drains, serves its open flows for 4 to 7 s and is replaced.
func (s *Soak) drainServer() {
	h := s.pickHost()
	h.mu.Lock()
	if h.serverState != "ready" {
		h.mu.Unlock()
		return
	}
	h.serverState = "draining"
	s.publish(h)
	name := h.serverName
	h.mu.Unlock()
	time.Sleep(s.randomDuration(4*time.Second, 7*time.Second))
	h.mu.Lock()
	notReplaced := h.serverName == name
	h.mu.Unlock()
	if notReplaced {
		s.replaceServer(h, 200*time.Millisecond)
	}
}

// evacuateDataCentre evacuates a data centre for 6 to 9 s, unless another one is
// evacuated already.
func (s *Soak) evacuateDataCentre() {
	dataCentre := s.pickHost().dataCentre
	if !s.checks.beginEvacuation(dataCentre) {
		return
	}
	s.store.Evacuate(dataCentre, true)
	time.Sleep(s.randomDuration(6*time.Second, 9*time.Second))
	s.store.Evacuate(dataCentre, false)
	s.checks.endEvacuation(dataCentre)
}
