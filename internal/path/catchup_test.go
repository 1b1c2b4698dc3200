package path_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/platform/fakes"
	"gotest.tools/v3/assert"
)

// tenMbits is the rate of the slowest hosts' links in bytes per second.
const tenMbits = 10_000_000 / 8

// inForce begins the log text of a new configuration; its version follows.
const inForce = `state="in force" version=`

// largeConfig returns a configuration with some routes, about size bytes long.
func largeConfig(version, routes, size int) []byte {
	filler := strings.Repeat("x", size/(routes+1)-120)
	text := fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":%q,"prefix":"/%d/","backend":"desk","slo_ms":500}`, version, serviceAddr.Addr(), serviceAddr.Port())
	for i := range routes {
		text = fmt.Appendf(text, `,{"name":"quiet%d","host":"198.19.%d.%d","prefix":"/443/","backend":"desk","slo_ms":500,"note":%q}`, i, i/250, i%250, filler)
	}
	return append(text, `],"backends":[{"name":"desk"}]}`...)
}

// position returns where a text first stands in the logs, -1 if it does not.
func (l *logBuffer) position(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Index(l.b.String(), text)
}

// A host with 10 Mbit/s that the store had rejected while 30 versions of the configuration
// were written fetched the history again and again, and discarded it. It must be current
// within 5 s, act on the evacuation and the drain first, and fetch the state at most
// twice. Callers' packets are handled meanwhile.
func TestSlowHostIsCurrentSoonAfterOutage(t *testing.T) {
	for _, row := range []struct {
		name    string
		trouble fakes.Trouble
		outage  time.Duration
		chunked bool
		reason  string // of the reading; empty if it depends on when the outage is noticed
	}{
		{"long outage", fakes.Busy, 4 * time.Second, false, "Outage"},
		{"long silence", fakes.Unresponsive, 4 * time.Second, false, ""},
		{"short outage", fakes.Busy, 700 * time.Millisecond, false, ""},
		{"short outage, answers of unknown length", fakes.Busy, 700 * time.Millisecond, true, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 0, 3)
			f.drainMs = 5000
			f.store.BytesPerSecond, f.store.Chunked = tenMbits, row.chunked
			f.store.Put("op/config", largeConfig(2, 240, 256<<10))
			f.startBalancer(0)
			history := make([][]byte, 30) // prepared before the outage, which must stay short
			for i := range history {
				history[i] = largeConfig(3+i, 240, 256<<10)
			}
			last := largeConfig(40, 1640, 900<<10)
			before := f.metric("balancer", 0, "dogwood_store_fetched_bytes_total")
			f.store.SetTrouble(row.trouble)
			f.publish(0, "ready") // ends the watch that was served before
			outage := time.Now()
			if row.trouble == fakes.Busy { // a watch notices silence only when its wait is over
				f.eventually(func() bool { return f.logs.contains("store lost") }, "the outage is noticed")
			}
			for _, config := range history {
				f.store.Put("op/config", config)
			}
			f.store.Put("op/config", last)
			f.store.Evacuate("dc1", true)
			f.publish(2, "draining")
			time.Sleep(row.outage - time.Since(outage))
			f.store.SetTrouble(fakes.Healthy)
			began := time.Now()
			for i := 0; !f.logs.contains(inForce + "40"); i++ {
				assert.Assert(t, time.Since(began) < 5*time.Second, "not current after 5 s")
				f.openFlow(fmt.Sprint("meanwhile", i))
				time.Sleep(20 * time.Millisecond)
			}
			t.Logf("current after %v", time.Since(began))
			configured := f.logs.position(inForce + "40")
			for _, first := range []string{`subject="data centre" state=out`, "subject=server state=Leaving"} {
				at := f.logs.position(first)
				assert.Assert(t, at >= 0 && at < configured, "%q stands at %d, the configuration at %d", first, at, configured)
			}
			fetched := f.metric("balancer", 0, "dogwood_store_fetched_bytes_total") - before
			assert.Assert(t, fetched <= 2*float64(len(last))*4/3, "%v bytes fetched", fetched)
			if row.reason != "" {
				assert.Equal(t, f.metric("balancer", 0, fmt.Sprintf("dogwood_store_state_reads_total{reason=%q}", row.reason)), 1.0)
			}
		})
	}
}

// recordCalls returns a function that returns the paths of the store's calls from now on.
func (f *fleet) recordCalls(onCall func(r *http.Request)) func() string {
	var mu sync.Mutex
	var paths []string
	f.store.OnCall = func(r *http.Request) {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		onCall(r)
	}
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return strings.Join(paths, " ")
	}
}

// A balancer whose watch began in a short silence of the store acted on the old
// configuration until 5 s after the silence; the default of RegainMs allows 4 s.
func TestUnansweredWatchEndsInTime(t *testing.T) {
	f := newFleet(t, 0, 1)
	var silenceNext atomic.Bool
	f.store.OnCall = func(r *http.Request) {
		if r.URL.Path == "/-/kv-watch" && silenceNext.CompareAndSwap(true, false) {
			f.store.SetTrouble(fakes.Unresponsive)
		}
	}
	f.startBalancer(0)
	silenceNext.Store(true)
	f.publish(0, "draining") // the balancer renews its watch
	f.eventually(func() bool { return !silenceNext.Load() }, "a watch begins in the silence")
	time.Sleep(50 * time.Millisecond)
	f.store.SetTrouble(fakes.Healthy)
	answering := time.Now()
	f.configure(2)
	for !f.logs.contains(inForce + "2") {
		assert.Assert(t, time.Since(answering) < 4*time.Second, "the configuration is not in force 4 s after the silence")
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("in force %v after the silence", time.Since(answering))
}

// Every call has a price: on a healthy store a balancer must make no more calls than one
// listing and one watch at a time.
func TestHealthyStoreGetsOneListingThenWatches(t *testing.T) {
	f := newFleet(t, 0, 2)
	calls := f.recordCalls(func(*http.Request) {})
	f.startBalancer(0)
	time.Sleep(2 * time.Second)
	assert.Equal(t, calls(), "/-/kv-range /-/kv-watch")
	f.publish(0, "draining")
	time.Sleep(time.Second)
	assert.Equal(t, calls(), "/-/kv-range /-/kv-watch /-/kv-watch")
}

// A reading of the state that is cut after its first page must remove nothing, since it
// does not show what is gone. What it brought stays in force.
func TestReadingCutBetweenTwoCallsRemovesNothing(t *testing.T) {
	f := newFleet(t, 0, 6)
	var cut atomic.Bool // calls after the first page of a reading fail
	f.store.OnCall = func(r *http.Request) {
		if cut.Load() && r.URL.Query().Get("after") > "op/evacuate" && r.URL.Path == "/-/kv-range" {
			f.store.SetTrouble(fakes.Busy)
		} else {
			f.store.SetTrouble(fakes.Healthy)
		}
	}
	f.startBalancer(0)
	cut.Store(true)
	f.store.DiscardHistory()
	f.store.Evacuate("dc2", true)
	f.store.Withdraw("s5")
	f.store.DiscardHistory()
	f.eventually(func() bool { return f.logs.contains(`subject="data centre" state=out`) }, "the evacuation is applied")
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !f.logs.contains("state=Missing"), "a partial reading removed a server")
	cut.Store(false)
	f.eventually(func() bool { return f.logs.contains("state=Missing") }, "the whole reading removes the server")
}

// The store is restored from an older copy between the two calls of a reading. The reading
// must start again: the configuration would otherwise come from another history than the
// servers.
func TestEraChangeInTheMiddleStartsReadingAgain(t *testing.T) {
	f := newFleet(t, 0, 3)
	var restore atomic.Bool
	calls := f.recordCalls(func(r *http.Request) {
		if r.URL.Path == "/-/kv-key" && restore.CompareAndSwap(true, false) {
			f.store.Restore()
			f.configure(4)
		}
	})
	f.store.Save()
	f.startBalancer(0)
	restore.Store(true)
	f.publish(0, "draining")
	f.eventually(func() bool { return f.logs.contains("state=Leaving") }, "the balancer applies the drain")
	f.configure(3)
	f.store.DiscardHistory()
	f.eventually(func() bool { return f.logs.contains(inForce + "4") }, "the configuration of the restored store is read")
	assert.Assert(t, !f.logs.contains(inForce+"3"))
	assert.Assert(t, strings.Contains(calls(), "/-/kv-range /-/kv-key /-/kv-range /-/kv-key"), calls())
	assert.Assert(t, f.logs.contains("store restored from an older copy"))
	for i := range 10 {
		_, server := f.openFlow(fmt.Sprint("after", i))
		assert.Assert(t, server != "s0", "the restored copy took the drain back")
	}
}

// An operator must see that a host acts on an old view, and that it is current again.
func TestOverdueViewRaisesAlarm(t *testing.T) {
	f := newFleet(t, 1, 1)
	const overdue = `dogwood_store_keys_overdue{keys="Evacuations"}`
	assert.Equal(t, f.metric("balancer", 0, overdue), 0.0)
	f.store.SetTrouble(fakes.Busy)
	f.publish(0, "ready")
	f.eventually(func() bool { return f.metric("balancer", 0, overdue) == 1 }, "the evacuations are overdue")
	assert.Assert(t, f.metric("balancer", 0, `dogwood_store_keys_age_seconds{keys="Evacuations"}`) > 1)
	f.eventually(func() bool { return f.logs.contains("view overdue") }, "the log tells it")
	f.store.SetTrouble(fakes.Healthy)
	f.eventually(func() bool { return f.logs.contains("view current again") && f.metric("balancer", 0, overdue) == 0 }, "the view is current again")
}
