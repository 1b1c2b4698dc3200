package netsim_test

import (
	"flag"
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/internal/netsim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"pgregory.net/rapid"
)

// disabledMechanism disables a mechanism, to find out whether the random runs detect that.
var disabledMechanism = flag.Int("without", -1, "number of the mechanism to disable; -1 for none")

// The short run in CI uses a fixed seed. The soak target of the Makefile sets others.
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

// stateMachine applies random actions to a fleet and records what callers may expect of
// it.
type stateMachine struct {
	t                *rapid.T
	w                *netsim.World
	nextNumber       int
	openingFlows     []flow.Key
	establishedFlows map[flow.Key]string // by flow, the server that holds it
	requests         []*netsim.Request
	leavingServers   map[int]bool
	outDataCentre    int               // index of the data centre that is out; -1 if none
	outRevisions     map[string]uint64 // by data centre, the last revision that took it out
}

func newStateMachine(t *rapid.T) *stateMachine {
	w := netsim.New(rapid.Uint64().Draw(t, "seed"))
	if *disabledMechanism >= 0 {
		w.Disabled = []node.Mechanism{node.Mechanism(*disabledMechanism)}
	}
	w.Build(defaultLayout)
	w.RunFor(settleTime)
	return &stateMachine{t: t, w: w, establishedFlows: make(map[flow.Key]string), leavingServers: make(map[int]bool), outDataCentre: -1, outRevisions: make(map[string]uint64)}
}

// randomHost draws a host.
func (m *stateMachine) randomHost() *netsim.Host {
	return m.w.Hosts[rapid.SampledFrom(m.w.Names()).Draw(m.t, "host")]
}

func (m *stateMachine) advanceTime(t *rapid.T) {
	m.w.RunFor(clock.Millis(rapid.IntRange(5, 4000).Draw(t, "wait")))
}

// openFlows sends the first packets of new flows, some of them twice.
func (m *stateMachine) openFlows(t *rapid.T) {
	for range 5 {
		key := netsim.FlowKey(m.nextNumber, 0)
		m.nextNumber++
		m.openingFlows = append(m.openingFlows, key)
		m.w.OpenFlow(key)
		if rapid.Bool().Draw(t, "twice") {
			m.w.OpenFlow(key)
		}
		m.w.RunFor(5)
	}
}

// resendFirstPackets resends the first packets of the last 20 flows that are not yet
// established.
func (m *stateMachine) resendFirstPackets(t *rapid.T) {
	m.openingFlows = m.openingFlows[max(0, len(m.openingFlows)-20):]
	for _, key := range m.openingFlows {
		m.w.OpenFlow(key)
	}
	m.w.RunFor(20)
	m.checkInvariants(t)
}

// recordEstablished sends data on opening flows and records those as established whose
// only holder receives it.
func (m *stateMachine) recordEstablished() {
	for _, key := range m.openingFlows {
		m.w.SendData(key)
	}
	m.w.RunFor(50)
	stillOpening := m.openingFlows[:0]
	for _, key := range m.openingFlows {
		holders := m.w.Holders(key)
		if len(holders) == 1 && m.mayBeOut(m.w.Hosts[holders[0]].Centre) {
			continue
		}
		if len(holders) == 1 && m.w.Hosts[holders[0]].Server.Flows[key] > 0 && m.w.ResetCounts()[key] == 0 {
			m.establishedFlows[key] = holders[0]
			continue
		}
		if len(holders) > 0 && m.w.ResetCounts()[key] == 0 {
			stillOpening = append(stillOpening, key)
		}
	}
	m.openingFlows = stillOpening
}

// mayBeOut reports whether a data centre is out, or a process has not activated the
// revision that took it out. Flows opened there in that time are lost once all processes
// have activated it, so they are not checked.
func (m *stateMachine) mayBeOut(dataCentre string) bool {
	for _, name := range m.w.Names() {
		if h := m.w.Hosts[name]; h.Revision() < m.outRevisions[dataCentre] {
			return true
		}
	}
	return m.outDataCentre >= 0 && dataCentre == netsim.DataCentreName(m.outDataCentre)
}

// sendData sends a packet of every opening and established flow.
func (m *stateMachine) sendData(*rapid.T) {
	m.recordEstablished()
	for _, key := range m.establishedKeys() {
		m.w.SendData(key)
	}
	m.w.RunFor(20)
}

// establishedKeys returns the keys of the established flows in a fixed order, so that a
// run can be repeated from its seed.
func (m *stateMachine) establishedKeys() []flow.Key {
	counts := make(map[flow.Key]int, len(m.establishedFlows))
	for key := range m.establishedFlows {
		counts[key] = 0
	}
	return netsim.SortedKeys(counts)
}

// sendRequest sends a new request. The error of the caller's clock shifts the timestamp
// in its identifier.
func (m *stateMachine) sendRequest(t *rapid.T) {
	clockError := clock.Millis(rapid.SampledFrom([]int{0, 0, 0, 1500, -1500, 20_000}).Draw(t, "caller's clock"))
	r := m.w.NewRequest("hold", clockError)
	m.requests = append(m.requests, r)
	m.w.SendRequest(r, 0, 2000+len(m.requests))
	m.w.RunFor(10)
}

// resendRequest sends another copy of one of the last 20 requests.
func (m *stateMachine) resendRequest(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request yet")
	}
	first := max(0, len(m.requests)-20)
	r := m.requests[rapid.IntRange(first, len(m.requests)-1).Draw(t, "request")]
	m.nextNumber++
	m.w.SendRequest(r, 0, 8000+m.nextNumber)
	m.w.RunFor(10)
}

// loseAnswers makes the server of a random host lose the answers of two more runs.
func (m *stateMachine) loseAnswers(t *rapid.T) {
	if s := m.randomHost().Server; s != nil {
		s.AnswersToLose += 2
	}
}

// restartProcess kills a process and starts it again after up to 3 s.
func (m *stateMachine) restartProcess(t *rapid.T) {
	h := m.randomHost()
	h.Kill()
	m.w.RunFor(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "down for")))
	h.Start()
}

func (m *stateMachine) suspendProcess(t *rapid.T) {
	m.randomHost().Suspend(clock.Millis(rapid.IntRange(50, 15_000).Draw(t, "pause")))
}

// partition splits the hosts at random into two parts that cannot reach each other.
func (m *stateMachine) partition(t *rapid.T) {
	inFirstPart := make(map[*netsim.Host]bool)
	for _, name := range m.w.Names() {
		inFirstPart[m.w.Hosts[name]] = rapid.Bool().Draw(t, name)
	}
	m.w.Partitioned = func(from, to *netsim.Host) bool { return from != nil && inFirstPart[from] != inFirstPart[to] }
}

// endFailures ends partitions, message loss and failures of the platform.
func (m *stateMachine) endFailures(*rapid.T) {
	m.w.Partitioned = nil
	m.w.LossRate = 0
	m.w.Platform.Down = false
	m.w.Platform.StaleRevision = 0
}

func (m *stateMachine) loseMessages(*rapid.T) { m.w.LossRate = 0.05 }

// changePlatform makes the platform fail, answer with revision 1, or recover.
func (m *stateMachine) changePlatform(t *rapid.T) {
	switch rapid.IntRange(0, 2).Draw(t, "platform") {
	case 0:
		m.w.Platform.Down = true
	case 1:
		m.w.Platform.StaleRevision = 1
	case 2:
		m.w.Platform.Down, m.w.Platform.StaleRevision = false, 0
	}
}

// crashServer crashes the server of a random host and forgets its flows.
func (m *stateMachine) crashServer(*rapid.T) {
	h := m.randomHost()
	if h.Server == nil {
		return
	}
	h.Server.Crash()
	m.forgetFlows(func(server string) bool { return server == h.Name })
}

// forgetFlows removes the established flows of the servers that are lost, and all opening
// flows.
func (m *stateMachine) forgetFlows(lost func(server string) bool) {
	for key, server := range m.establishedFlows {
		if lost(server) {
			delete(m.establishedFlows, key)
		}
	}
	m.openingFlows = nil
}

// toggleLeaving sets a server to leaving, or back to serving.
func (m *stateMachine) toggleLeaving(t *rapid.T) {
	n := rapid.IntRange(0, 6).Draw(t, "server")
	m.leavingServers[n] = !m.leavingServers[n]
	state := "Serving"
	if m.leavingServers[n] {
		state = "Leaving"
	}
	m.w.Override(fmt.Sprintf("90-%d.json", n), "BackendServers", netsim.ServerName("watch", n), "State", state)
}

func (m *stateMachine) changeWeight(t *rapid.T) {
	n := rapid.IntRange(0, 6).Draw(t, "server")
	weight := rapid.SampledFrom([]int{50, 100, 200}).Draw(t, "weight")
	m.w.Override(fmt.Sprintf("91-%d.json", n), "BackendServers", netsim.ServerName("watch", n), "Weight", weight)
}

// toggleDataCentre takes a data centre out and forgets its flows, or returns the one
// that is out.
func (m *stateMachine) toggleDataCentre(t *rapid.T) {
	if m.outDataCentre >= 0 {
		m.w.Override("92.json", "DataCentres", netsim.DataCentreName(m.outDataCentre), "State", "In")
		m.outDataCentre = -1
		m.openingFlows = nil // some may have been opened there and lost
		return
	}
	m.outDataCentre = rapid.IntRange(0, 2).Draw(t, "data centre")
	m.outRevisions[netsim.DataCentreName(m.outDataCentre)] = m.w.Override("92.json", "DataCentres", netsim.DataCentreName(m.outDataCentre), "State", "Out")
	m.forgetFlows(func(server string) bool { return m.w.Hosts[server].Centre == netsim.DataCentreName(m.outDataCentre) })
}

// changeClockSkew restarts a process with another clock skew.
func (m *stateMachine) changeClockSkew(t *rapid.T) {
	h := m.randomHost()
	h.Kill()
	h.ClockSkew = clock.Millis(rapid.SampledFrom([]int{0, 900, -900, 30_000, -30_000}).Draw(t, "skew"))
	h.Start()
}

// checkInvariants checks what must hold at every instant: no flow has two holders, no
// established flow is reset, no non-idempotent request runs twice, refusals are true and
// state a retry delay.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	for _, key := range m.openingFlows {
		var holders []string
		for _, name := range m.w.Holders(key) {
			if !m.mayBeOut(m.w.Hosts[name].Centre) {
				holders = append(holders, name)
			}
		}
		if len(holders) > 1 {
			t.Fatalf("flow %s was opened at several servers: %v", key, holders)
		}
	}
	for _, key := range m.establishedKeys() {
		if m.w.ResetCounts()[key] > 0 {
			t.Fatalf("flow %s, established at %s, was reset", key, m.establishedFlows[key])
		}
		if holders := m.w.Holders(key); len(holders) != 1 {
			t.Fatalf("flow %s is held by %v, not by one server", key, holders)
		}
	}
	for _, r := range m.requests {
		runs := m.w.RunCount(r.Wire.ID)
		if runs > 1 {
			t.Fatalf("request %s ran %d times", r.Wire.ID, runs)
		}
		for _, a := range r.Answers {
			if a.Outcome == wire.NotRun && runs > 0 {
				t.Fatalf("request %s ran although it was refused as not run: %q", r.Wire.ID, a.Reason)
			}
			if a.Outcome != wire.Done && a.RetryAfterMs <= 0 {
				t.Fatalf("request %s was refused without a retry delay", r.Wire.ID)
			}
		}
	}
}

// checkRecovery ends the failures and checks that packets of all established flows reach
// their servers, and that the newest revision is in force everywhere.
func (m *stateMachine) checkRecovery(t *rapid.T) {
	m.endFailures(t)
	m.w.RunFor(30 * clock.Second)
	newest := uint64(0)
	for _, name := range m.w.Names() {
		newest = max(newest, m.w.Hosts[name].Revision())
	}
	before := make(map[flow.Key]int)
	keys := m.establishedKeys()
	for _, key := range keys {
		before[key] = m.w.Hosts[m.establishedFlows[key]].Server.Flows[key]
	}
	for range 5 {
		for _, key := range keys {
			m.w.SendData(key)
		}
		m.w.RunFor(200)
	}
	m.checkInvariants(t)
	for _, key := range keys {
		if m.w.Hosts[m.establishedFlows[key]].Server.Flows[key] == before[key] {
			t.Fatalf("flow %s no longer reaches %s", key, m.establishedFlows[key])
		}
	}
	for _, name := range m.w.Names() {
		if h := m.w.Hosts[name]; h.Revision() != newest {
			t.Fatalf("%s has revision %d, not the newest, %d", name, h.Revision(), newest)
		}
	}
}

// Random failures, alone and combined, must not break the guarantees to callers: flows
// stay at one server and non-idempotent requests run at most once.
func TestRandomFailuresPreserveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.advanceTime, "wait more": m.advanceTime, "open": m.openFlows, "repeat first": m.resendFirstPackets, "data": m.sendData,
			"hold": m.sendRequest, "hold again": m.resendRequest, "lose answer": m.loseAnswers,
			"restart": m.restartProcess, "pause": m.suspendProcess, "cut": m.partition, "heal": m.endFailures, "lose": m.loseMessages,
			"platform": m.changePlatform, "fall": m.crashServer, "drain": m.toggleLeaving, "weight": m.changeWeight, "centre": m.toggleDataCentre, "skew": m.changeClockSkew,
			"": m.checkInvariants,
		})
		m.checkRecovery(t)
	})
}
