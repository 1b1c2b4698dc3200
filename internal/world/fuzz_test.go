package world_test

import (
	"flag"
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/internal/world"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"pgregory.net/rapid"
)

// without switches a mechanism off, to see whether the random runs notice.
var without = flag.Int("without", -1, "number of the mechanism that is switched off")

// The short run in CI uses one seed; make soak gives others.
func init() {
	must(flag.Set("rapid.seed", "1"))
	must(flag.Set("rapid.checks", "40"))
	must(flag.Set("rapid.steps", "50"))
	must(flag.Set("rapid.nofailfile", "true"))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// oracle is what a caller may expect of the whole system.
type oracle struct {
	t       *rapid.T
	w       *world.World
	next    int
	opening []flow.Key
	flows   map[flow.Key]string // established, and at which server
	holds   []*world.Request
	leaving map[int]bool
	out     int               // data centre that is out; -1 if none
	outAt   map[string]uint64 // last revision that took each data centre out
}

func newOracle(t *rapid.T) *oracle {
	w := world.New(rapid.Uint64().Draw(t, "seed"))
	if *without >= 0 {
		w.Disabled = []node.Mechanism{node.Mechanism(*without)}
	}
	w.Build(today)
	w.Run(settle)
	return &oracle{t: t, w: w, flows: make(map[flow.Key]string), leaving: make(map[int]bool), out: -1, outAt: make(map[string]uint64)}
}

// host draws one of the hosts.
func (o *oracle) host() *world.Host {
	return o.w.Hosts[rapid.SampledFrom(o.w.Names()).Draw(o.t, "host")]
}

func (o *oracle) wait(t *rapid.T) {
	o.w.Run(clock.Millis(rapid.IntRange(5, 4000).Draw(t, "wait")))
}

// openFlows sends first packets, some of them twice.
func (o *oracle) openFlows(t *rapid.T) {
	for range 5 {
		key := world.Flow(o.next, 0)
		o.next++
		o.opening = append(o.opening, key)
		o.w.OpenFlow(key)
		if rapid.Bool().Draw(t, "twice") {
			o.w.OpenFlow(key)
		}
		o.w.Run(5)
	}
}

// repeatFirst sends the first packets of flows that are not established again.
func (o *oracle) repeatFirst(t *rapid.T) {
	o.opening = o.opening[max(0, len(o.opening)-20):]
	for _, key := range o.opening {
		o.w.OpenFlow(key)
	}
	o.w.Run(20)
	o.check(t)
}

// establish counts the opened flows whose first data arrives as established.
func (o *oracle) establish() {
	for _, key := range o.opening {
		o.w.SendData(key)
	}
	o.w.Run(50)
	kept := o.opening[:0]
	for _, key := range o.opening {
		holders := o.w.Holders(key)
		if len(holders) == 1 && o.mayGoOut(o.w.Hosts[holders[0]].Centre) {
			continue
		}
		if len(holders) == 1 && o.w.Hosts[holders[0]].Server.Flows[key] > 0 && o.w.ResetCounts()[key] == 0 {
			o.flows[key] = holders[0]
			continue
		}
		if len(holders) > 0 && o.w.ResetCounts()[key] == 0 {
			kept = append(kept, key)
		}
	}
	o.opening = kept
}

// mayGoOut reports whether some process has yet to hear that a data centre was
// taken out: a flow opened there is given up when it does.
func (o *oracle) mayGoOut(centre string) bool {
	for _, name := range o.w.Names() {
		if h := o.w.Hosts[name]; h.Revision() < o.outAt[centre] {
			return true
		}
	}
	return o.out >= 0 && centre == world.DataCentreName(o.out)
}

func (o *oracle) sendData(*rapid.T) {
	o.establish()
	for _, key := range o.keys() {
		o.w.SendData(key)
	}
	o.w.Run(20)
}

func (o *oracle) keys() []flow.Key {
	counts := make(map[flow.Key]int, len(o.flows))
	for key := range o.flows {
		counts[key] = 0
	}
	return world.SortedKeys(counts)
}

func (o *oracle) hold(t *rapid.T) {
	wrong := clock.Millis(rapid.SampledFrom([]int{0, 0, 0, 1500, -1500, 20_000}).Draw(t, "caller's clock"))
	r := o.w.NewRequest("hold", wrong)
	o.holds = append(o.holds, r)
	o.w.Ask(r, 0, 2000+len(o.holds))
	o.w.Run(10)
}

func (o *oracle) holdAgain(t *rapid.T) {
	if len(o.holds) == 0 {
		t.Skip("no request yet")
	}
	first := max(0, len(o.holds)-20)
	r := o.holds[rapid.IntRange(first, len(o.holds)-1).Draw(t, "request")]
	o.next++
	o.w.Ask(r, 0, 8000+o.next)
	o.w.Run(10)
}

func (o *oracle) loseAnswer(t *rapid.T) {
	if s := o.host().Server; s != nil {
		s.AnswersToLose += 2
	}
}

func (o *oracle) restart(t *rapid.T) {
	h := o.host()
	h.Kill()
	o.w.Run(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "down for")))
	h.Start()
}

func (o *oracle) pause(t *rapid.T) {
	o.host().Suspend(clock.Millis(rapid.IntRange(50, 15_000).Draw(t, "pause")))
}

func (o *oracle) cut(t *rapid.T) {
	side := make(map[*world.Host]bool)
	for _, name := range o.w.Names() {
		side[o.w.Hosts[name]] = rapid.Bool().Draw(t, name)
	}
	o.w.Partitioned = func(from, to *world.Host) bool { return from != nil && side[from] != side[to] }
}

func (o *oracle) heal(*rapid.T) {
	o.w.Partitioned = nil
	o.w.LossRate = 0
	o.w.Platform.Down = false
	o.w.Platform.StaleRevision = 0
}

func (o *oracle) lose(*rapid.T) { o.w.LossRate = 0.05 }

func (o *oracle) platform(t *rapid.T) {
	switch rapid.IntRange(0, 2).Draw(t, "platform") {
	case 0:
		o.w.Platform.Down = true
	case 1:
		o.w.Platform.StaleRevision = 1
	case 2:
		o.w.Platform.Down, o.w.Platform.StaleRevision = false, 0
	}
}

// fall loses a server with its flows.
func (o *oracle) fall(*rapid.T) {
	h := o.host()
	if h.Server == nil {
		return
	}
	h.Server.Crash()
	o.giveUp(func(server string) bool { return server == h.Name })
}

// giveUp forgets the flows at some servers.
func (o *oracle) giveUp(lost func(server string) bool) {
	for key, server := range o.flows {
		if lost(server) {
			delete(o.flows, key)
		}
	}
	o.opening = nil
}

func (o *oracle) drain(t *rapid.T) {
	n := rapid.IntRange(0, 6).Draw(t, "server")
	o.leaving[n] = !o.leaving[n]
	state := "Serving"
	if o.leaving[n] {
		state = "Leaving"
	}
	o.w.Override(fmt.Sprintf("90-%d.json", n), "BackendServers", world.ServerName("watch", n), "State", state)
}

func (o *oracle) weight(t *rapid.T) {
	n := rapid.IntRange(0, 6).Draw(t, "server")
	weight := rapid.SampledFrom([]int{50, 100, 200}).Draw(t, "weight")
	o.w.Override(fmt.Sprintf("91-%d.json", n), "BackendServers", world.ServerName("watch", n), "Weight", weight)
}

// centre takes a data centre out or back; its flows are given up.
func (o *oracle) centre(t *rapid.T) {
	if o.out >= 0 {
		o.w.Override("92.json", "DataCentres", world.DataCentreName(o.out), "State", "In")
		o.out = -1
		o.opening = nil // those opened there meanwhile were given up
		return
	}
	o.out = rapid.IntRange(0, 2).Draw(t, "data centre")
	o.outAt[world.DataCentreName(o.out)] = o.w.Override("92.json", "DataCentres", world.DataCentreName(o.out), "State", "Out")
	o.giveUp(func(server string) bool { return o.w.Hosts[server].Centre == world.DataCentreName(o.out) })
}

func (o *oracle) skew(t *rapid.T) {
	h := o.host()
	h.Kill()
	h.ClockSkew = clock.Millis(rapid.SampledFrom([]int{0, 900, -900, 30_000, -30_000}).Draw(t, "skew"))
	h.Start()
}

// check asserts what must hold at every instant.
func (o *oracle) check(t *rapid.T) {
	for _, key := range o.opening {
		var holders []string
		for _, name := range o.w.Holders(key) {
			if !o.mayGoOut(o.w.Hosts[name].Centre) {
				holders = append(holders, name)
			}
		}
		if len(holders) > 1 {
			t.Fatalf("flow %s was opened by %v", key, holders)
		}
	}
	for _, key := range o.keys() {
		if o.w.ResetCounts()[key] > 0 {
			t.Fatalf("flow %s of %s was reset", key, o.flows[key])
		}
		if holders := o.w.Holders(key); len(holders) != 1 {
			t.Fatalf("flow %s is held by %v", key, holders)
		}
	}
	for _, r := range o.holds {
		runs := o.w.RunCount(r.Wire.ID)
		if runs > 1 {
			t.Fatalf("request %s ran %d times", r.Wire.ID, runs)
		}
		for _, a := range r.Answers {
			if a.Outcome == wire.NotRun && runs > 0 {
				t.Fatalf("request %s ran although %q", r.Wire.ID, a.Reason)
			}
			if a.Outcome != wire.Done && a.RetryAfterMs <= 0 {
				t.Fatalf("request %s was refused without a time to come back", r.Wire.ID)
			}
		}
	}
}

// mend ends every failure and asserts that all established flows still work.
func (o *oracle) mend(t *rapid.T) {
	o.heal(t)
	o.w.Run(30 * clock.Second)
	newest := uint64(0)
	for _, name := range o.w.Names() {
		newest = max(newest, o.w.Hosts[name].Revision())
	}
	before := make(map[flow.Key]int)
	keys := o.keys()
	for _, key := range keys {
		before[key] = o.w.Hosts[o.flows[key]].Server.Flows[key]
	}
	for range 5 {
		for _, key := range keys {
			o.w.SendData(key)
		}
		o.w.Run(200)
	}
	o.check(t)
	for _, key := range keys {
		if o.w.Hosts[o.flows[key]].Server.Flows[key] == before[key] {
			t.Fatalf("flow %s no longer reaches %s", key, o.flows[key])
		}
	}
	for _, name := range o.w.Names() {
		if h := o.w.Hosts[name]; h.Revision() != newest {
			t.Fatalf("%s has revision %d, others %d", name, h.Revision(), newest)
		}
	}
}

// Random failures, alone and together, against the promises of the brief.
func TestRandomFailuresKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": o.wait, "wait more": o.wait, "open": o.openFlows, "repeat first": o.repeatFirst, "data": o.sendData,
			"hold": o.hold, "hold again": o.holdAgain, "lose answer": o.loseAnswer,
			"restart": o.restart, "pause": o.pause, "cut": o.cut, "heal": o.heal, "lose": o.lose,
			"platform": o.platform, "fall": o.fall, "drain": o.drain, "weight": o.weight, "centre": o.centre, "skew": o.skew,
			"": o.check,
		})
		o.mend(t)
	})
}
