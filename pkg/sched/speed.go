package sched

import "dogwoodlanding.example/dogwood/pkg/clock"

// speedWeight is the weight of a new sample in the mean service time, which thus covers
// about the last 20 answers. A server that has just started is slower for some seconds,
// in which it gives many more.
const speedWeight = 0.05

// Speed estimates how long a server takes for a request from its recent answers. The
// zero value has none. Set Slots before the first call.
type Speed struct {
	Slots int // requests that the server can run at once, 0 if not known

	mean       float64      // moving average of the service time in ms, 0 if not known
	running    int          // requests at the server
	expected   int          // of flows that have just opened, whose requests are on the way
	lastAnswer clock.Millis // while all slots are busy, 0 if they were not
}

// Running records how many requests are at the server, and how many more are expected of
// flows that have just opened.
func (s *Speed) Running(requests, expected int) {
	s.running, s.expected = requests, expected
	if requests < s.Slots {
		s.lastAnswer = 0
	}
}

// Answered records an answer, took after its request was delivered, while the number of
// requests last recorded still includes it. If more requests than slots were at the
// server, they may have queued there, so the time between two answers is taken instead.
func (s *Speed) Answered(now, took clock.Millis) {
	sample := float64(took)
	if s.Slots > 0 && s.running > s.Slots {
		if s.lastAnswer == 0 {
			s.lastAnswer = now
			return
		}
		sample = float64(now-s.lastAnswer) * float64(s.Slots)
	}
	if s.running >= s.Slots {
		s.lastAnswer = now
	}
	if s.mean == 0 {
		s.mean = sample
	}
	s.mean += (sample - s.mean) * speedWeight
}

// Expected returns the time from the delivery of one more request to its answer.
func (s *Speed) Expected() clock.Millis { return clock.Millis(s.mean) + s.TimeFor(0) }

// TimeFor returns the time until the server starts a request that is delivered after n
// others.
func (s *Speed) TimeFor(n int) clock.Millis {
	if s.Slots == 0 {
		return 0
	}
	return clock.Millis(s.mean * float64(max(0, s.running+s.expected+n+1-s.Slots)) / float64(s.Slots))
}
