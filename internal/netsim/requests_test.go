package netsim_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/netsim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"gotest.tools/v3/assert"
)

// restartAgents restarts the selected agents, while their servers keep running.
func restartAgents(w *netsim.World, selected func(h *netsim.Host) bool) {
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Agent != nil && selected(h) {
			h.Kill()
			h.Start()
		}
	}
}

// newRequests returns new requests of a method that is not idempotent.
func newRequests(w *netsim.World, count int) []*netsim.Request {
	var out []*netsim.Request
	for range count {
		out = append(out, w.NewRequest("hold", 0))
	}
	return out
}

// sendCopies sends one copy of each request, one every 15 ms. The copies have consecutive
// source ports from firstPort on.
func sendCopies(w *netsim.World, requests []*netsim.Request, firstPort int) {
	for i, r := range requests {
		w.SendRequest(r, 0, firstPort+i)
		w.RunFor(15)
	}
}

// loseAnswers makes every server lose the answers of its next count runs.
func loseAnswers(w *netsim.World, count int) {
	for _, name := range w.Names() {
		if s := w.Hosts[name].Server; s != nil {
			s.AnswersToLose = count
		}
	}
}

// assertRunAtMostOnce fails if a request ran more than once.
func assertRunAtMostOnce(t *testing.T, w *netsim.World, requests []*netsim.Request) {
	t.Helper()
	for _, r := range requests {
		assert.Assert(t, w.RunCount(r.Wire.ID) <= 1, "%s ran %d times", r.Wire.ID, w.RunCount(r.Wire.ID))
	}
}

// A non-idempotent request runs at most once in each scenario. With the mechanism of the
// row disabled, some run twice. The homes of a request are the agents that grant
// attempts to run it, see package claim.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	for _, row := range []struct {
		name      string
		mechanism node.Mechanism
		scenario  func(w *netsim.World, requests []*netsim.Request)
	}{
		{"two copies at once", node.MajorityOfHomes, func(w *netsim.World, requests []*netsim.Request) {
			for i, r := range requests {
				w.SendRequest(r, 0, 2000+i)
				w.SendRequest(r, 0, 4000+i)
				w.RunFor(15)
			}
		}},
		{"most homes restart", node.HomeStart, func(w *netsim.World, requests []*netsim.Request) {
			loseAnswers(w, 1000)
			sendCopies(w, requests, 2000)
			restartAgents(w, func(h *netsim.Host) bool { return h.Centre != netsim.DataCentreName(0) })
			w.RunFor(8 * clock.Second)
			sendCopies(w, requests, 4000)
		}},
		{"the homes change between two sends", node.OldHomes, func(w *netsim.World, requests []*netsim.Request) {
			loseAnswers(w, 1000)
			sendCopies(w, requests, 2000)
			w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "Out")
			w.RunFor(3 * clock.Second)
			sendCopies(w, requests, 4000)
		}},
		{"agents restart after the homes changed", node.KnownHomeSets, func(w *netsim.World, requests []*netsim.Request) {
			loseAnswers(w, 1000)
			sendCopies(w, requests, 2000)
			w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "Out")
			w.RunFor(clock.Second)
			for _, name := range []string{"watch-1", "watch-2"} {
				w.Hosts[name].Kill()
				w.Hosts[name].Start()
			}
			w.RunFor(6 * clock.Second)
			sendCopies(w, requests, 4000)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			runScenario := func(disabled ...node.Mechanism) (repeated, ran int) {
				w := newFleet(t, 6, defaultLayout, disabled...)
				requests := newRequests(w, 360)
				row.scenario(w, requests)
				w.RunFor(5 * clock.Second)
				for _, r := range requests {
					runs := w.RunCount(r.Wire.ID)
					if runs > 1 {
						repeated++
					}
					ran += min(runs, 1)
				}
				return repeated, ran
			}
			ranTwice, ran := runScenario()
			assert.Equal(t, ranTwice, 0)
			assert.Assert(t, ran > 300, "only %d of 360 requests ran", ran)
			ranTwice, _ = runScenario(row.mechanism)
			assert.Assert(t, ranTwice > 0, "no request runs twice with %s disabled", row.mechanism)
		})
	}
}

// No request runs twice if all agents restart, so that none has a record of it.
func TestRestartOfEveryAgentRunsNothingTwice(t *testing.T) {
	w := newFleet(t, 6, defaultLayout)
	loseAnswers(w, 1000)
	requests := newRequests(w, 120)
	sendCopies(w, requests, 2000)
	restartAgents(w, func(*netsim.Host) bool { return true })
	w.RunFor(8 * clock.Second)
	sendCopies(w, requests, 4000)
	w.RunFor(5 * clock.Second)
	assertRunAtMostOnce(t, w, requests)
}

// A request whose caller got the answer that it did not run must not run when another
// copy arrives later.
func TestRefusedRequestDoesNotRunLater(t *testing.T) {
	countRanLater := func(disabled ...node.Mechanism) (ranLater, refused int) {
		w := newFleet(t, 7, defaultLayout, disabled...)
		for n := range 7 {
			w.Hosts[netsim.ServerName("watch", n)].Server.MeanRunTime = 2 * clock.Second
		}
		requests := newRequests(w, 100)
		for i, r := range requests {
			w.SendRequest(r, 0, 2000+i)
			w.RunFor(2)
		}
		w.RunFor(200)
		wasRefused := make(map[*netsim.Request]bool)
		for _, r := range requests {
			for _, a := range r.Answers {
				wasRefused[r] = wasRefused[r] || a.Outcome == wire.NotRun
			}
		}
		w.RunFor(5 * clock.Second)
		sendCopies(w, requests, 4000)
		w.RunFor(5 * clock.Second)
		for r := range wasRefused {
			if wasRefused[r] && w.RunCount(r.Wire.ID) > 0 {
				ranLater++
			}
			if wasRefused[r] {
				refused++
			}
		}
		return ranLater, refused
	}
	count, refused := countRanLater()
	assert.Equal(t, count, 0)
	assert.Assert(t, refused > 20, "only %d requests were refused", refused)
	count, _ = countRanLater(node.ClaimedRefusal)
	assert.Assert(t, count > 0, "no refused request runs later with %s disabled", node.ClaimedRefusal)
}

// Every copy of a request gets an answer of its own within 5 s, and an answer without a
// result has a retry delay.
func TestEveryCopyGetsItsOwnAnswer(t *testing.T) {
	w := newFleet(t, 8, defaultLayout)
	requests := newRequests(w, 60)
	for i, r := range requests {
		w.SendRequest(r, 0, 2000+i)
		w.SendRequest(r, 0, 4000+i)
		w.RunFor(10)
	}
	w.RunFor(5 * clock.Second)
	for _, r := range requests {
		assert.Equal(t, len(r.AnswerByCopy), 2, "copies of %s", r.Wire.ID)
		for copyNumber, a := range r.AnswerByCopy {
			assert.Assert(t, a.Outcome == wire.Done || a.RetryAfterMs > 0, "copy %d: %+v", copyNumber, a)
		}
	}
}

// With one host down, the majority of each request's homes is still reachable, so few
// requests are refused.
func TestFewRequestsRefusedWithOneHostDown(t *testing.T) {
	w := newFleet(t, 9, defaultLayout)
	w.Hosts["charts-1"].Kill()
	w.RunFor(clock.Second)
	requests := newRequests(w, 2000)
	sendCopies(w, requests, 2000)
	w.RunFor(5 * clock.Second)
	failed := 0
	for _, r := range requests {
		if len(r.Answers) == 0 || r.Answers[0].Outcome != wire.Done {
			failed++
		}
	}
	assert.Assert(t, failed <= 2, "%d of 2000 requests were refused or unknown", failed)
}

// While the homes change, attempts need grants from the old and the new set. Two copies
// that arrive at the same time must not each win one set, so that neither runs.
func TestConcurrentCopiesSucceedWhileHomesChange(t *testing.T) {
	w := newFleet(t, 13, defaultLayout)
	w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "Out")
	w.RunFor(3 * clock.Second)
	requests := newRequests(w, 300)
	for i, r := range requests {
		w.SendRequest(r, 0, 2000+i)
		w.SendRequest(r, 0, 4000+i)
		w.RunFor(25)
	}
	w.RunFor(5 * clock.Second)
	undecided := 0
	for _, r := range requests {
		for _, a := range r.AnswerByCopy {
			if a.Outcome != wire.Done {
				undecided++
			}
		}
	}
	assert.Equal(t, undecided, 0)
}

// A restarted home must not grant a claim again that it may have granted before its
// restart, not even if its clock was set back by 20 s.
func TestHomeRestartedWithClockSetBackDoesNotGrantAgain(t *testing.T) {
	w := newFleet(t, 10, defaultLayout)
	loseAnswers(w, 1000)
	requests := newRequests(w, 100)
	sendCopies(w, requests, 2000)
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Agent != nil && h.Centre != netsim.DataCentreName(0) {
			h.Kill()
			h.ClockSkew = -20 * clock.Second
			h.Start()
		}
	}
	w.RunFor(8 * clock.Second)
	sendCopies(w, requests, 4000)
	w.RunFor(5 * clock.Second)
	assertRunAtMostOnce(t, w, requests)
}

// An attempt whose process is suspended during its claim must not run the request after
// a later attempt has run it.
func TestSuspendedAttemptDoesNotRunAfterSuccessor(t *testing.T) {
	w := newFleet(t, 11, defaultLayout)
	requests := newRequests(w, 60)
	for i, r := range requests {
		w.SendRequest(r, 0, 2000+i)
		w.RunFor(3)
		w.Hosts[netsim.ServerName("watch", i%7)].Suspend(700)
		w.RunFor(50)
		w.SendRequest(r, 0, 4000+i)
		w.RunFor(900)
	}
	w.RunFor(5 * clock.Second)
	assertRunAtMostOnce(t, w, requests)
}

// When all servers lose their answers, retries must not multiply the load: there are at
// most 1.1 runs for each request of a caller.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	runsPerRequest := func(disabled ...node.Mechanism) float64 {
		w := newFleet(t, 12, defaultLayout, disabled...)
		for n := range 7 {
			w.Hosts[netsim.ServerName("watch", n)].Server.WarmFraction = 1
		}
		for i := range 500 {
			w.SendRequest(w.NewRequest("read", 0), 0, 2000+i)
			w.RunFor(5)
		}
		loseAnswers(w, 1_000_000)
		before := totalRuns(w)
		const requestCount = 2000
		for i := range requestCount {
			w.SendRequest(w.NewRequest("read", 0), 0, 3000+i)
			w.RunFor(5)
		}
		w.RunFor(5 * clock.Second)
		return float64(totalRuns(w)-before) / requestCount
	}
	assert.Assert(t, runsPerRequest() <= 1.10)
	assert.Assert(t, runsPerRequest(node.RetryBudget) > 1.10)
}

// totalRuns returns the number of runs at all servers.
func totalRuns(w *netsim.World) int {
	total := 0
	for _, name := range w.Names() {
		if s := w.Hosts[name].Server; s != nil {
			for _, n := range s.Runs {
				total += n
			}
		}
	}
	return total
}

// A server that returns cold receives hardly more requests than it can run, although 20
// balancers send to it. It sheds at most 2 requests and one for every 50 runs.
func TestColdServerIsNotOverloadedByManyBalancers(t *testing.T) {
	runCold := func(disabled ...node.Mechanism) (sheds, runs int) {
		l := netsim.Layout{DataCentres: 3, Balancers: 20, Services: []netsim.ServiceLayout{{Name: "watch", Servers: 3, Slots: 16}}}
		w := newFleet(t, 14, l, disabled...)
		sent := 0
		load := func(span clock.Millis) {
			for end := w.Now() + span; w.Now() < end; {
				w.SendRequest(w.NewRequest("read", 0), 0, 2000+sent)
				sent++
				w.RunFor(1)
			}
		}
		for n := range 3 {
			w.Hosts[netsim.ServerName("watch", n)].Server.MeanRunTime = 30
		}
		load(10 * clock.Second)
		server := w.Hosts["watch-1"].Server
		server.WarmupStep = 0.85 / 600
		before := len(server.FinishedRuns)
		server.Crash()
		load(5 * clock.Second)
		assert.Assert(t, server.WarmFraction > 0.5, "the server got too few requests to warm up")
		return server.Sheds, len(server.FinishedRuns) - before
	}
	count, runs := runCold()
	assert.Assert(t, count <= 2+runs/50, "the cold server shed %d requests and ran %d", count, runs)
	count, runs = runCold(node.ColdStart)
	assert.Assert(t, count > 2+runs/50, "the server shed only %d requests and ran %d with %s disabled", count, runs, node.ColdStart)
}
