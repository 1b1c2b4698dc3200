package soak

import (
	"os"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/stand/proxy"
	"dogwoodlanding.example/dogwood/platform/stand"
)

// fault is one kind of trouble. It returns when the trouble has ended.
type fault struct {
	name string
	run  func(s *Soak)
}

var faults = []fault{
	{"balancer stopped", func(s *Soak) { s.restart(&s.front().process, syscall.SIGTERM) }},
	{"balancer killed", func(s *Soak) { s.restart(&s.front().process, syscall.SIGKILL) }},
	{"balancer paused", func(s *Soak) { s.pause(&s.front().process) }},
	{"agent stopped", func(s *Soak) { s.restart(s.host().agent, syscall.SIGTERM) }},
	{"agent killed", func(s *Soak) { s.restart(s.host().agent, syscall.SIGKILL) }},
	{"agent paused", func(s *Soak) { s.pause(s.host().agent) }},
	{"every agent killed", func(s *Soak) {
		for _, h := range s.hosts {
			go s.restart(h.agent, syscall.SIGKILL)
		}
	}},
	{"store busy", func(s *Soak) { s.storeTrouble(stand.Busy) }},
	{"store mute", func(s *Soak) { s.storeTrouble(stand.Mute) }},
	{"store drops connections", func(s *Soak) { s.storeTrouble(stand.Dropped) }},
	{"store forgets", func(s *Soak) { s.store.Forget() }},
	{"entries lapse", func(s *Soak) { s.lapse() }},
	{"connection slow", func(s *Soak) { s.link(proxy.Slow) }},
	{"connection reset", func(s *Soak) { s.link(proxy.Reset) }},
	{"connection silent", func(s *Soak) { s.link(proxy.Silence) }},
	{"connection one way", func(s *Soak) { s.link(proxy.OneWay) }},
	{"server crashes", func(s *Soak) { s.crash() }},
	{"server drains", func(s *Soak) { s.drain() }},
	{"data centre out", func(s *Soak) { s.evacuate() }},
	{"settings signal", func(s *Soak) { s.front().signal(syscall.SIGHUP); s.host().agent.signal(syscall.SIGHUP) }},
}

func (s *Soak) front() *front { return s.fronts[s.pick(len(s.fronts))] }
func (s *Soak) host() *host   { return s.hosts[s.pick(len(s.hosts))] }

// pick draws a number below n. Faults run at the same time and share the source.
func (s *Soak) pick(n int) int {
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	return s.random.IntN(n)
}

func (s *Soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.pick(int(most-least)))
}

// restart ends a process and starts it again. Faults overlap: one restart of a
// process at a time, or the second would lose the process that the first started.
func (s *Soak) restart(p *process, sig os.Signal) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(sig)
	p.wait()
	time.Sleep(s.between(100*time.Millisecond, 900*time.Millisecond))
	if err := p.start(s.Program, s.Dir); err != nil {
		s.checks.fail("%s does not start: %v", p.name, err)
	}
	p.touch()
}

func (p *process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
}

func (s *Soak) pause(p *process) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(s.between(300*time.Millisecond, 4*time.Second))
	p.signal(syscall.SIGCONT)
}

func (s *Soak) storeTrouble(t stand.Trouble) {
	s.checks.storeTouched()
	s.store.SetTrouble(t)
	time.Sleep(s.between(500*time.Millisecond, 4*time.Second))
	s.store.SetTrouble(stand.Healthy)
	s.checks.storeTouched()
}

// lapse takes every entry away for a second, as after an outage of the store.
func (s *Soak) lapse() {
	s.checks.storeTouched()
	for _, h := range s.hosts {
		h.mu.Lock()
		s.store.Withdraw(h.name)
		h.mu.Unlock()
	}
	time.Sleep(time.Second)
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.state != "gone" {
			s.publish(h)
		}
		h.mu.Unlock()
	}
	s.checks.storeTouched()
}

func (s *Soak) link(m proxy.Mode) {
	f := s.front()
	s.checks.storeTouched()
	f.proxy.Set(m)
	time.Sleep(s.between(500*time.Millisecond, 4*time.Second))
	f.proxy.Set(proxy.Pass)
	s.checks.storeTouched()
}

// crash ends a server without a word and starts a new run of it.
func (s *Soak) crash() {
	h := s.host()
	s.replace(h, s.between(0, 2*time.Second))
}

// replace ends the present run of a server and starts the next one.
func (s *Soak) replace(h *host, down time.Duration) {
	h.replacing.Lock()
	defer h.replacing.Unlock()
	h.mu.Lock()
	h.server.Stop()
	h.state, h.changed = "gone", time.Now()
	old := h.name
	h.mu.Unlock()
	time.Sleep(down)
	s.store.Withdraw(old)
	if err := s.startServer(h); err != nil {
		s.checks.fail("server of host %d does not start: %v", h.index, err)
	}
}

// drain takes a server out by plan: it drains, serves on and is replaced.
func (s *Soak) drain() {
	h := s.host()
	h.mu.Lock()
	if h.state != "ready" {
		h.mu.Unlock()
		return
	}
	h.state = "draining"
	s.publish(h)
	name := h.name
	h.mu.Unlock()
	time.Sleep(s.between(4*time.Second, 7*time.Second))
	h.mu.Lock()
	same := h.name == name
	h.mu.Unlock()
	if same {
		s.replace(h, 200*time.Millisecond)
	}
}

func (s *Soak) evacuate() {
	centre := s.host().centre
	if !s.checks.takeOut(centre) {
		return
	}
	s.store.Evacuate(centre, true)
	time.Sleep(s.between(6*time.Second, 9*time.Second))
	s.store.Evacuate(centre, false)
	s.checks.takeBack(centre)
}
