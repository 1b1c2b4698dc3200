package health_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/health"
	"gotest.tools/v3/assert"
)

const seeds = 10

// A faulty server that is never judged bad fails its share of callers until an operator
// notices.
func TestFaultIsDetected(t *testing.T) {
	for _, row := range []struct {
		service service
		kind    serverKind
		rate    float64      // requests a second, 0 for the usual
		unknown bool         // the typical time is not known
		within  clock.Millis // time to detection in the worst of the runs
	}{
		{twoSlots, hanging, 0, false, 3000},
		{twoSlots, hanging, 10, false, 8000},
		{twoSlots, hanging, 100, false, 3000},
		{twoSlots, hanging, 0, true, 8000},
		{twoSlots, blocking, 0, false, 5000},
		{twoSlots, resetting, 0, false, 4000},
		{twoSlots, resetting, 10, false, 8000},
		{twoSlots, resetting, 100, false, 4000},
		{twoSlots, resetting, 0, true, 4000},
		{twoSlots, mute, 0, false, 2000},
		{twoSlots, mute, 10, false, 4000},
		{twoSlots, mute, 0, true, 3000},
		{twoSlots, slow, 0, false, 4000},
		{twoSlots, slow, 5, false, 8000},
		{twoSlots, slow, 100, false, 4000},
		{twoSlots, flapping, 0, false, 4000},
		{fourSlots, hanging, 0, false, 4000},
		{fourSlots, blocking, 0, false, 5000},
		{fourSlots, resetting, 0, false, 4000},
		{fourSlots, mute, 0, false, 2000},
		{fourSlots, slow, 0, false, 4000},
		{fourSlots, flapping, 0, false, 4000},
		{downloads, hanging, 0, false, 8000},
		{downloads, blocking, 0, false, 15_000},
		{downloads, resetting, 0, false, 8000},
		{downloads, mute, 0, false, 6000},
		{downloads, flapping, 0, false, 15_000},
	} {
		name := fmt.Sprint(row.service.name, " ", row.kind, " ", row.rate, " ", row.unknown)
		t.Run(name, func(t *testing.T) {
			worst, sum := clock.Millis(0), clock.Millis(0)
			for seed := range uint64(seeds) {
				s := newSim(row.service, row.kind, seed)
				if row.rate > 0 {
					s.rate = row.rate
				}
				if row.unknown {
					s.d.Typical = 0
				}
				start := s.now
				s.run(30 * clock.Second)
				assert.Assert(t, len(s.changes) > 0 && s.changes[0].Bad, "seed %d: not detected", seed)
				took := s.changeAt[0] - start
				worst, sum = max(worst, took), sum+took
			}
			t.Logf("%s: detected after %v in the mean of %d runs, %v at worst", name, sum/seeds, seeds, worst)
			assert.Assert(t, worst <= row.within)
		})
	}
}

// Contents are opaque: responses that report an error or a refusal are answers. They can
// only be seen as quick ones, and do not change the verdict.
func TestQuickAnswersAreCountedAndNotJudged(t *testing.T) {
	s := newSim(twoSlots, failing, 1)
	s.run(clock.Minute)
	status := s.d.Status()
	assert.Equal(t, len(s.changes), 0)
	assert.Assert(t, status.Quick*10 >= status.Sound*3, "%+v", status)
	healthy := newSim(twoSlots, sound, 1)
	healthy.run(clock.Minute)
	assert.Equal(t, healthy.d.Status().Quick, uint64(0))
}

// A false verdict takes capacity from a service, most of all when it is short.
func TestSoundServerIsNotJudgedBad(t *testing.T) {
	for _, row := range []struct {
		name     string
		service  service
		kind     serverKind
		load     float64 // share of what the slots can do
		duration clock.Millis
		change   func(*sim)
	}{
		{"twoSlots, quiet", twoSlots, sound, 0.2, 10 * clock.Minute, nil},
		{"twoSlots, busy", twoSlots, sound, 0.8, 10 * clock.Minute, nil},
		{"twoSlots, busy, exponential", twoSlots, sound, 0.8, 10 * clock.Minute, func(s *sim) { s.exponential = true }},
		{"twoSlots, overloaded", twoSlots, sound, 2, 4 * clock.Minute, nil},
		{"twoSlots, overloaded, exponential", twoSlots, sound, 2, 4 * clock.Minute, func(s *sim) { s.exponential = true }},
		{"twoSlots, overloaded, typical time unknown", twoSlots, sound, 2, 4 * clock.Minute, func(s *sim) { s.d.Typical = 0 }},
		{"twoSlots, overloaded with a long queue", twoSlots, sound, 1.5, clock.Minute, func(s *sim) { s.queue = 200 }},
		{"twoSlots, cold at times", twoSlots, cold, 0.8, 4 * clock.Minute, nil},
		{"twoSlots, cold at times and overloaded", twoSlots, cold, 2, 4 * clock.Minute, nil},
		{"fourSlots, quiet", fourSlots, sound, 0.2, 10 * clock.Minute, nil},
		{"fourSlots, busy", fourSlots, sound, 0.8, 10 * clock.Minute, nil},
		{"fourSlots, overloaded", fourSlots, sound, 2, 4 * clock.Minute, nil},
		{"fourSlots, overloaded, exponential", fourSlots, sound, 2, 4 * clock.Minute, func(s *sim) { s.exponential = true }},
		{"fourSlots, cold at times and overloaded", fourSlots, cold, 2, 4 * clock.Minute, nil},
		{"downloads, quiet", downloads, sound, 0.05, 10 * clock.Minute, nil},
		{"downloads, overloaded", downloads, sound, 2, 4 * clock.Minute, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			var failed, judged uint64
			for seed := range uint64(3) {
				s := newSim(row.service, row.kind, seed)
				s.rate = row.load * 1000 * float64(s.slots) / s.work / 1.18 // the mean service time is 1.18 times the usual one
				if row.change != nil {
					row.change(s)
				}
				s.run(row.duration)
				assert.Equal(t, len(s.changes), 0, "seed %d", seed)
				for _, n := range s.d.Status().Failed {
					failed += n
				}
				judged += s.d.Status().Sound
			}
			t.Logf("%s: %d of %d requests counted as failed", row.name, failed, failed+judged)
			assert.Assert(t, failed*10 <= judged, "a share near the limit")
		})
	}
}

// A server that has recovered and is not used again is lost capacity.
func TestRecoveredServerReturns(t *testing.T) {
	for _, kind := range []serverKind{hanging, blocking, resetting, mute, slow, flapping} {
		worst, sum := clock.Millis(0), clock.Millis(0)
		for seed := range uint64(seeds) {
			s := newSim(twoSlots, kind, seed)
			s.trials = true
			for !s.d.Bad() {
				s.run(100)
			}
			s.run(100)
			s.kind = sound
			start := s.now
			s.run(30 * clock.Second)
			assert.Assert(t, !s.d.Bad(), "%s, seed %d", kind, seed)
			took := s.changeAt[len(s.changeAt)-1] - start
			worst, sum = max(worst, took), sum+took
		}
		t.Logf("%s: returned after %v in the mean of %d runs, %v at worst", kind, sum/seeds, seeds, worst)
		assert.Assert(t, sum/seeds <= 10*clock.Second && worst <= 20*clock.Second, kind)
	}
}

// If trials let the server return too easily, callers meet it again and again.
func TestFaultyServerReceivesFewRequests(t *testing.T) {
	for _, kind := range []serverKind{hanging, blocking, resetting, mute, slow, flapping} {
		var received, failed, without int
		for seed := range uint64(5) {
			s := newSim(twoSlots, kind, seed)
			s.trials = true
			s.run(clock.Minute)
			received, failed = received+s.received, failed+s.failed
			other := newSim(twoSlots, kind, seed)
			other.run(clock.Minute)
			without += other.failed
		}
		t.Logf("%s: %d requests received, %d failed, %d without the detector", kind, received/5, failed/5, without/5)
		assert.Assert(t, received < 60*40, kind)
		assert.Assert(t, failed*4 <= without, kind)
	}
}

// Delays outside the server must not count against it.
func TestOtherDelaysAreNoFailures(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(d *health.Detector, now clock.Millis, r *health.Request)
	}{
		{"a lost packet is repeated", func(d *health.Detector, now clock.Millis, r *health.Request) {
			d.WasRepeated(now+90, r)
			d.Answered(now+95, r)
		}},
		{"the process was paused", func(d *health.Detector, now clock.Millis, r *health.Request) {
			d.Tick(now + 1000)
			assert.Assert(t, !d.NotOpened(now+1000, health.Unopened))
			d.Answered(now+1001, r)
		}},
	} {
		d := health.Detector{Slots: 2, Typical: 24}
		now := clock.Millis(1_000_000)
		for range 100 {
			var r health.Request
			d.Begin(now, &r, 200)
			row.end(&d, now, &r)
			now += 2000
		}
		assert.Equal(t, d.Status().Failed, [health.Kinds]uint64{}, row.name)
		assert.Assert(t, !d.Bad(), row.name)
	}
}

// A caller that gives up after its goal is the only sign of a hanging server if the
// typical time is not known and the limit has not passed.
func TestAbandonedRequestsCount(t *testing.T) {
	d := health.Detector{Slots: 2}
	now := clock.Millis(1_000_000)
	for range 11 {
		var r health.Request
		d.Begin(now, &r, 200)
		d.GivenUp(now+250, &r)
		now += 1000
	}
	assert.Equal(t, d.Status().Failed[health.Abandoned], uint64(11))
	assert.Assert(t, !d.Bad())
	var r health.Request
	d.Begin(now, &r, 200)
	d.GivenUp(now+250, &r)
	assert.Assert(t, d.Bad())
}

// The packet path of a known flow must not allocate.
func TestNoAllocation(t *testing.T) {
	d := health.Detector{Slots: 1, Typical: 24}
	var r, other health.Request
	now := clock.Millis(1_000_000)
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		d.Begin(now, &r, 200)
		d.Begin(now, &other, 200)
		d.WasRepeated(now, &r)
		d.WasReset(now+5, &r)
		d.Answered(now+10, &other)
		d.Tick(now)
		now += 20
	}), 0.0)
}

func ExampleDetector() {
	d := health.Detector{Slots: 2, Typical: 24, Changed: func(c health.Change) {
		fmt.Printf("bad %v: %d of %d requests failed, %d of them reset\n", c.Bad, c.Failed, c.Requests, c.ByKind[health.Reset])
	}}
	var r health.Request
	for now := clock.Millis(1_000_000); !d.Bad(); now += 50 {
		d.Begin(now, &r, 200)
		if now%100 == 0 {
			d.Answered(now+25, &r)
		} else {
			d.WasReset(now+5, &r)
		}
	}
	// Output: bad true: 10 of 20 requests failed, 10 of them reset
}
