package resync_test

import (
	"math/rand/v2"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/resync"
	"gotest.tools/v3/assert"
)

func newPolicy(seed uint64, stateBytes int64) *resync.Policy {
	random := rand.New(rand.NewPCG(seed, 7))
	p := &resync.Policy{
		Bounds: resync.Bounds{5000, 5000, 5000}, MaxRest: 6000,
		Random: func(n clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(n))) },
	}
	p.Record(0, resync.Outcome{Kind: resync.Listing, Bytes: stateBytes, Took: 50})
	return p
}

// A store that answers each reading but has never the history after it would be read in a
// loop without a pause.
func TestReadingsWithoutWatchArePaced(t *testing.T) {
	p := newPolicy(1, 1000)
	now, readings := clock.Millis(0), 0
	for now < 10_000 {
		c := p.Next(now)
		now += c.Pause + 5
		switch c.Kind {
		case resync.Watch:
			p.Record(now, resync.Outcome{Kind: resync.Watch, Result: resync.FoundHistoryGone, Took: 5})
		default:
			readings++
			p.Record(now, resync.Outcome{Kind: c.Kind, Bytes: 1000, Took: 5})
		}
	}
	assert.Assert(t, readings <= 30, "%d readings in 10 s", readings)
}

// A host whose watch cannot bring it up to date must read the state, and one whose watch
// only failed must not: a reset connection would cost the whole state.
func TestResultOfCallChoosesNextCall(t *testing.T) {
	const small, heavy = 500_000, 15_000_000
	for _, row := range []struct {
		name       string
		stateBytes int64
		outcomes   []resync.Outcome
		elapsed    clock.Millis // since the last outcome
		kind       resync.Kind
		reason     resync.Reason
	}{
		{"complete", small, []resync.Outcome{{Kind: resync.Watch}}, 0, resync.Watch, resync.NoReason},
		{"history gone", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundHistoryGone}}, 0, resync.State, resync.HistoryGone},
		{"restored", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundRestored}}, 0, resync.State, resync.Restored},
		{"too large", heavy, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundTooLarge}}, 0, resync.State, resync.TooLarge},
		{"suspended", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundSuspended}}, 0, resync.State, resync.Suspended},
		{"refused", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.Failed, Took: 4000}}, 1000, resync.Watch, resync.NoReason},
		{"refused for long", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.Failed}}, 2600, resync.State, resync.Outage},
		{"heavy state, refused for long", heavy, []resync.Outcome{{Kind: resync.Watch, Result: resync.Failed}}, 2600, resync.Watch, resync.NoReason},
		{"silent", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.Silent, Took: 5000}}, 0, resync.State, resync.Outage},
		{"refused, then silent", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.Failed}, {Kind: resync.Watch, Result: resync.Silent, Took: 1000}}, 0, resync.State, resync.Incomplete},
		{"cut in its middle", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.Failed, Bytes: 9}}, 0, resync.State, resync.Incomplete},
		{"reading failed", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundTooLarge}, {Kind: resync.State, Result: resync.Failed}}, 0, resync.State, resync.TooLarge},
		{"read", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundTooLarge}, {Kind: resync.State, Bytes: 1}}, 0, resync.Watch, resync.NoReason},
	} {
		t.Run(row.name, func(t *testing.T) {
			p, now := newPolicy(1, row.stateBytes), clock.Millis(10_000)
			for _, o := range row.outcomes {
				p.Record(now, o)
			}
			call := p.Next(now + row.elapsed)
			assert.Equal(t, call.Kind, row.kind)
			assert.Equal(t, call.Reason, row.reason)
			assert.Equal(t, call.MaxBytes > 0, row.name == "heavy state, refused for long")
		})
	}
}

// An alarm for each refused call, or for a watch that waits, would not be believed.
func TestViewIsOverdueAfterItsBoundOnly(t *testing.T) {
	p := newPolicy(1, 500_000)
	p.Bounds[resync.Servers] = 3000
	for _, keys := range resync.AllKeys {
		p.Cover(keys, 1000)
	}
	assert.Assert(t, !p.Overdue(9900, resync.Servers), "a watch waits")
	p.Record(10_000, resync.Outcome{Kind: resync.Watch, Result: resync.Failed, Took: 100})
	assert.Assert(t, !p.Overdue(12_800, resync.Servers))
	assert.Assert(t, p.Overdue(13_000, resync.Servers))
	assert.Assert(t, !p.Overdue(13_000, resync.Evacuations))
	p.Cover(resync.Servers, 12_900)
	assert.Assert(t, !p.Overdue(13_000, resync.Servers))
	assert.Equal(t, p.Age(13_000, resync.Servers), clock.Millis(100))
}

// host is a host of a simulated fleet that follows its policy.
type host struct {
	*resync.Policy
	call            resync.Call
	startAt, pageAt clock.Millis // beginning of the call and of its present page
	received        float64      // bytes of the call
	current         bool
}

func (h *host) record(now clock.Millis, o resync.Outcome) {
	h.Record(now, o)
	h.call = h.Next(now)
	h.startAt, h.received = now+h.call.Pause, 0
	h.pageAt = h.startAt
}

// receive adds bytes to the response to the host's call, which has some size.
func (h *host) receive(now clock.Millis, bytes, size float64) {
	const page = 1_000_000
	if int(h.received/page) < int((h.received+bytes)/page) {
		h.pageAt = now
	}
	h.received += bytes
	o := resync.Outcome{Kind: h.call.Kind, Bytes: int64(h.received), Took: now - h.startAt}
	switch {
	case h.received >= size:
		h.current = true
		return
	case h.call.MaxBytes > 0 && o.Bytes > h.call.MaxBytes:
		o.Result = resync.FoundTooLarge
	case now-h.pageAt > h.call.Limit:
		o.Result = resync.Slow
	default:
		return
	}
	h.record(now, o)
}

// simulate lets hosts return to the store after ten seconds of refused calls. They share
// its link equally, 1,000 Mbit/s. A watch brings changes of some size. It returns when the
// last of those hosts is current that are so by a time, and how many are.
func simulate(count int, stateBytes int64, changes float64, until clock.Millis) (last clock.Millis, current int) {
	step := max(20, until/36_000)
	hosts, active := make([]host, count), make([]*host, count)
	for i := range hosts {
		h := &hosts[i]
		*h = host{Policy: newPolicy(uint64(i), stateBytes), startAt: -10 * clock.Second}
		for h.startAt < 0 {
			h.record(h.startAt, resync.Outcome{Kind: resync.Watch, Result: resync.Failed})
		}
	}
	for now := clock.Millis(0); now < until && current < count; now += step {
		active = active[:0]
		for i := range hosts {
			if h := &hosts[i]; !h.current && now >= h.startAt {
				active = append(active, h)
			}
		}
		for _, h := range active {
			size := changes
			if h.call.Kind == resync.State {
				size = float64(stateBytes)
			}
			if h.receive(now, 125_000*float64(step)/float64(len(active)), size); h.current {
				last, current = now, current+1
			}
		}
	}
	return last, current
}

// After an outage of the store all hosts come back together. Without a spread, and with
// limits that do not grow, readings are cut and begin again without end.
func TestFleetBecomesCurrentAfterOutage(t *testing.T) {
	for _, row := range []struct {
		name       string
		hosts      int
		stateBytes int64
		changes    float64
		within     clock.Millis
	}{
		{"300 hosts, 0.5 MB", 300, 500_000, 5_000_000, 5 * clock.Second},
		{"300 hosts, 15 MB, few changes", 300, 15_000_000, 10_000, 5 * clock.Second},
		{"300 hosts, 15 MB, many changes", 300, 15_000_000, 5_000_000, clock.Minute},
		{"5,400 hosts, 0.5 MB", 5400, 500_000, 5_000_000, clock.Minute},
		{"5,400 hosts, 15 MB, few changes", 5400, 15_000_000, 10_000, 5 * clock.Second},
		{"5,400 hosts, 15 MB, many changes", 5400, 15_000_000, 5_000_000, clock.Hour},
	} {
		t.Run(row.name, func(t *testing.T) {
			last, current := simulate(row.hosts, row.stateBytes, row.changes, row.within)
			t.Logf("%d hosts are current after %v", current, last)
			assert.Equal(t, current, row.hosts)
		})
	}
}

// A restored store ends the watches of all hosts at the same moment. Their readings must
// not begin at the same moment too, nor wait for more than a quarter of the bound.
func TestReadingsAfterRestoreAreSpread(t *testing.T) {
	for _, row := range []struct {
		stateBytes int64
		window     clock.Millis
	}{{50_000, 120}, {500_000, 1200}, {15_000_000, 1250}} {
		var tenths [10]int
		for seed := range uint64(300) {
			p := newPolicy(seed, row.stateBytes)
			p.Record(1000, resync.Outcome{Kind: resync.Watch, Result: resync.FoundRestored})
			tenths[p.Next(1000).Pause*10/row.window]++
		}
		for _, calls := range tenths {
			assert.Assert(t, calls > 10 && calls < 50, "%v calls in each tenth of %v", tenths, row.window)
		}
	}
	p := newPolicy(1, 500_000)
	p.Record(1000, resync.Outcome{Kind: resync.Watch, Result: resync.FoundTooLarge})
	assert.Equal(t, p.Next(1000).Pause, clock.Millis(0), "the watch has used up time already")
}

// A store that is silent for a moment never responds to the calls that arrive then. A host
// whose watch began in the silence stayed out of date for longer than Regain.
func TestHostIsCurrentSoonAfterSilence(t *testing.T) {
	const silenceLimit, callTime = 1000, 20
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 11))
		p := newPolicy(seed, random.Int64N(2_000_000))
		p.Bounds = resync.Bounds{5000, 3000, 3000}
		p.Regain, p.SilenceLimit = 4000+1000*clock.Millis(seed%3), silenceLimit
		silentFrom := 10_000 + clock.Millis(random.Int64N(5000))
		silentUntil := silentFrom + 1 + clock.Millis(random.Int64N(3000))
		wait := true // as long as the store responds, a watch waits for changes
		for now := clock.Millis(0); now < silentUntil+p.Regain+10_000; {
			c := p.Next(now)
			began := now + c.Pause
			now = began + callTime
			if wait && c.Kind == resync.Watch {
				now += c.Wait
			}
			if began >= silentUntil {
				assert.Assert(t, began+callTime-silentUntil <= p.Regain, "seed %d: current %v after the silence", seed, began+callTime-silentUntil)
				break
			}
			o := resync.Outcome{Kind: c.Kind, Bytes: 1000}
			if began >= silentFrom {
				now += silenceLimit - callTime
				o.Result, o.Bytes, wait = resync.Silent, 0, false
			}
			o.Took = now - began
			p.Record(now, o)
		}
	}
}
