package resync_test

import (
	"math/rand/v2"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/resync"
	"gotest.tools/v3/assert"
)

func newPolicy(stateBytes int64) *resync.Policy {
	random := rand.New(rand.NewPCG(1, 2))
	p := &resync.Policy{
		Bounds: resync.Bounds{5000, 5000, 5000}, MaxRest: 6000,
		Random: func(n clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(n))) },
	}
	p.Record(0, resync.Outcome{Kind: resync.Listing, Bytes: stateBytes, Took: 50})
	return p
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
		{"cut in its middle", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.Failed, Bytes: 9}}, 0, resync.State, resync.Incomplete},
		{"reading failed", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundTooLarge}, {Kind: resync.State, Result: resync.Failed}}, 0, resync.State, resync.TooLarge},
		{"read", small, []resync.Outcome{{Kind: resync.Watch, Result: resync.FoundTooLarge}, {Kind: resync.State, Bytes: 1}}, 0, resync.Watch, resync.NoReason},
	} {
		t.Run(row.name, func(t *testing.T) {
			p, now := newPolicy(row.stateBytes), clock.Millis(10_000)
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

// A response that is cut by its time limit and asked for again with the same limit would
// be discarded for ever.
func TestLimitGrowsAfterSlowResponse(t *testing.T) {
	p := newPolicy(500_000)
	assert.Equal(t, p.Next(0).Limit, 5*clock.Second)
	p.Record(6000, resync.Outcome{Kind: resync.State, Result: resync.Slow, Bytes: 9, Took: 5000})
	assert.Equal(t, p.Next(6000).Limit, 10*clock.Second)
	p.Record(9000, resync.Outcome{Kind: resync.State})
	assert.Equal(t, p.Next(9000).Limit, 5*clock.Second)
}

// An alarm for each refused call, or for a watch that waits, would not be believed.
func TestViewIsOverdueAfterItsBoundOnly(t *testing.T) {
	p := newPolicy(500_000)
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

// fleet simulates hosts that share the store's link equally, 1,000 Mbit/s. Each has lost
// the store for ten seconds and then follows its policy.
type fleet struct {
	hosts      []*host
	stateBytes float64
	changes    float64 // size of the response to a watch
}

// pageBytes is the size of a page of a listing.
const pageBytes = 1_000_000

type host struct {
	policy    *resync.Policy
	call      resync.Call
	startAt   clock.Millis
	left      float64 // bytes until the call ends
	received  float64
	pages     int // complete pages of a reading
	pageAt    clock.Millis
	active    bool
	currentAt clock.Millis
}

func newFleet(hosts int, stateBytes, changes float64) *fleet {
	f := &fleet{stateBytes: stateBytes, changes: changes}
	for i := range hosts {
		random := rand.New(rand.NewPCG(uint64(i), 7))
		p := newPolicy(int64(stateBytes))
		p.Random = func(n clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(n))) }
		h := &host{policy: p}
		for at := clock.Millis(-10_000); at < 0; { // refused calls until the outage ends
			p.Record(at, resync.Outcome{Kind: resync.Watch, Result: resync.Failed})
			h.call = p.Next(at)
			at += h.call.Pause
			h.startAt = at
		}
		f.hosts = append(f.hosts, h)
	}
	return f
}

// run returns when the last host is current, at most until a time, and how many are.
func (f *fleet) run(until clock.Millis) (last clock.Millis, current int) {
	const step = 10 * clock.Millis(1)
	for now := clock.Millis(0); now < until && current < len(f.hosts); now += step {
		active := 0
		for _, h := range f.hosts {
			if !h.active && h.currentAt == 0 && now >= h.startAt {
				h.active, h.received, h.pages, h.pageAt = true, 0, 0, now
				h.left = f.stateBytes
				if h.call.Kind == resync.Watch {
					h.left = f.changes
				}
			}
			if h.active {
				active++
			}
		}
		share := 125_000 * float64(step) / float64(max(1, active))
		for _, h := range f.hosts {
			if h.active && f.progress(h, now, share) {
				last = now
				current++
			}
		}
	}
	return last, current
}

// progress sends a share of the link to a host and reports whether it has become current.
func (f *fleet) progress(h *host, now clock.Millis, share float64) bool {
	h.received += share
	if pages := int(h.received / pageBytes); pages > h.pages {
		h.pages, h.pageAt = pages, now
	}
	o := resync.Outcome{Kind: h.call.Kind, Bytes: int64(h.received), Took: now - h.startAt}
	switch {
	case h.received >= h.left:
		h.active, h.currentAt = false, now
		return true
	case h.call.MaxBytes > 0 && h.received > float64(h.call.MaxBytes):
		o.Result = resync.FoundTooLarge
	case now-h.pageAt > h.call.Limit:
		o.Result = resync.Slow
	default:
		return false
	}
	h.active = false
	h.policy.Record(now, o)
	h.call = h.policy.Next(now)
	h.startAt = now + h.call.Pause
	return false
}

// After an outage of the store all hosts come back together. Without a spread, and with
// limits that do not grow, readings are cut and begin again without end.
func TestFleetBecomesCurrentAfterOutage(t *testing.T) {
	for _, row := range []struct {
		name                string
		hosts               int
		stateBytes, changes float64
		within              clock.Millis
	}{
		{"300 hosts, 0.5 MB", 300, 500_000, 5_000_000, 5 * clock.Second},
		{"300 hosts, 15 MB, few changes", 300, 15_000_000, 10_000, 5 * clock.Second},
		{"300 hosts, 15 MB, many changes", 300, 15_000_000, 5_000_000, clock.Minute},
		{"5,400 hosts, 0.5 MB", 5400, 500_000, 5_000_000, clock.Minute},
		{"5,400 hosts, 15 MB, few changes", 5400, 15_000_000, 10_000, 5 * clock.Second},
		{"5,400 hosts, 15 MB, many changes", 5400, 15_000_000, 5_000_000, clock.Hour},
	} {
		t.Run(row.name, func(t *testing.T) {
			last, current := newFleet(row.hosts, row.stateBytes, row.changes).run(row.within)
			t.Logf("%d hosts are current after %v", current, last)
			assert.Equal(t, current, row.hosts)
		})
	}
}
