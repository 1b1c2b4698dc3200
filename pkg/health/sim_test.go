package health_test

import (
	"math/rand/v2"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/health"
)

// Kinds of servers in simulations.
type serverKind string

const (
	sound     serverKind = "sound"
	cold      serverKind = "cold" // restarts every 20 s, 1.6 times slower for 2 s
	hanging   serverKind = "hanging"
	blocking  serverKind = "blocking" // hangs, and its slots are occupied meanwhile
	resetting serverKind = "resetting"
	mute      serverKind = "mute"
	slow      serverKind = "slow"
	failing   serverKind = "failing" // responds to 40 % at once, with an error or a refusal
	flapping  serverKind = "flapping"
)

// Share of the requests that a faulty server fails.
const faultShare = 0.4

// sim simulates a server that works off its requests in order of arrival, its callers,
// and the detector of its agent. Callers repeat a request after 200 and 600 ms and give up
// after the time limit. Requests come at random, independently of each other.
type sim struct {
	kind        serverKind
	slots       int
	queue       int          // requests that the server queues; it sheds the rest
	work        float64      // usual service time, ms; 3 % take seven times as long
	exponential bool         // service times are distributed exponentially
	goal        clock.Millis // of the requests
	timeLimit   clock.Millis // after which callers give up
	rate        float64      // requests a second
	trials      bool         // while the verdict is bad, only trials reach the server

	d        health.Detector
	now      clock.Millis
	next     float64 // when the next request comes
	random   *rand.Rand
	requests []*simRequest // in progress, in order of arrival
	changes  []health.Change
	changeAt []clock.Millis
	received int
	failed   int // shed or reset, or not answered within the goal
}

// simRequest is a request that its caller waits for.
type simRequest struct {
	record health.Request
	sent   clock.Millis
	work   float64 // what is left of it, ms
	hangs  bool    // is never answered
	blocks bool    // occupies a slot all the time
}

// service holds the usual figures of one kind of service.
type service struct {
	name            string
	slots, queue    int
	work            float64
	goal, timeLimit clock.Millis
	typical         clock.Millis
	rate            float64 // of one server
}

var (
	twoSlots  = service{"twoSlots", 2, 8, 22, 200, 1500, 24, 40}
	fourSlots = service{"fourSlots", 4, 16, 36, 300, 1500, 40, 35}
	downloads = service{"downloads", 2, 8, 5, 800, 6000, 4, 11}
)

const simStart = 1_700_000_000_000

func newSim(of service, kind serverKind, seed uint64) *sim {
	s := &sim{kind: kind, slots: of.slots, queue: of.queue, work: of.work, goal: of.goal, timeLimit: of.timeLimit, rate: of.rate,
		now: simStart, next: simStart, random: rand.New(rand.NewPCG(seed, 0))}
	s.d.Slots, s.d.Typical = of.slots, of.typical
	s.d.Changed = func(c health.Change) {
		s.changes, s.changeAt = append(s.changes, c), append(s.changeAt, s.now)
	}
	return s
}

// run runs the simulation for a time.
func (s *sim) run(d clock.Millis) {
	for range d {
		s.now++
		s.d.Cold = s.kind == cold && s.now%(20*clock.Second) < 2*clock.Second
		if s.now%health.TickInterval == 0 {
			s.d.Tick(s.now)
		}
		for ; s.next <= float64(s.now); s.next += s.random.ExpFloat64() * 1000 / s.rate {
			if !s.trials || !s.d.Bad() || s.d.LetThrough(s.now) {
				s.arrive()
			}
		}
		if len(s.requests) > 0 {
			s.serve()
		}
	}
}

// muteNow reports whether the server answers nothing at present.
func (s *sim) muteNow() bool {
	return s.kind == mute || s.kind == flapping && s.now/clock.Second%2 == 1
}

// arrive adds a request of a new caller.
func (s *sim) arrive() {
	s.received++
	faulty := s.random.Float64() < faultShare
	r := &simRequest{sent: s.now, work: s.serviceTime(), blocks: s.kind == blocking && faulty}
	r.hangs = s.muteNow() || r.blocks || s.kind == hanging && faulty
	s.d.Begin(s.now, &r.record, s.goal)
	switch {
	case s.kind == failing && faulty, !r.hangs && s.inServer() >= s.slots+s.queue:
		s.failed++
		s.d.Answered(s.now, &r.record)
	case s.kind == resetting && faulty:
		s.d.WasReset(s.now, &r.record)
		s.failed++
	default:
		s.requests = append(s.requests, r)
	}
}

// serviceTime returns a random service time.
func (s *sim) serviceTime() float64 {
	work := s.work
	if s.exponential {
		work *= s.random.ExpFloat64()
	}
	if s.random.Float64() < 0.03 {
		work *= 7
	}
	switch {
	case s.kind == slow:
		work *= 8
	case s.d.Cold:
		work *= 1.6
	}
	return work
}

// inServer returns the number of requests that the server runs or queues.
func (s *sim) inServer() int {
	n := 0
	for _, r := range s.requests {
		if !r.hangs || r.blocks {
			n++
		}
	}
	return n
}

// serve lets the server work for a millisecond and callers repeat and give up.
func (s *sim) serve() {
	free := s.slots
	for _, r := range s.requests {
		if free > 0 && (!r.hangs || r.blocks) && !s.muteNow() {
			free--
			r.work--
		}
		if age := s.now - r.sent; age == 200 || age == 600 {
			s.d.WasRepeated(s.now, &r.record)
		}
	}
	s.requests = slices.DeleteFunc(s.requests, func(r *simRequest) bool {
		switch {
		case !r.hangs && r.work <= 0:
			if s.now-r.sent > s.goal {
				s.failed++
			}
			s.d.Answered(s.now, &r.record)
			return true
		case s.now-r.sent >= s.timeLimit:
			s.failed++
			s.d.GivenUp(s.now, &r.record)
			return true
		}
		return false
	})
}
