package path_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/internal/path"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/platform/fakes"
	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// A server whose entry says that it is ready but that answers too late must not keep its
// share of new flows, and an operator must be able to see why it gets none.
func TestBadServerIsLoggedAndAvoided(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := &fakes.Server{Name: "s1", Address: f.addr("server", 1, serverPort), Outbound: f.addr("server", 1, outboundPort), ServiceTime: time.Minute}
	assert.NilError(t, s.Start())
	t.Cleanup(s.Stop)
	a := &path.Agent{Log: log.New(f.logs), Settings: setup.PathAgent{Path: f.pathSettings("server", 1), Outbound: s.Outbound.String(),
		Server: s.Address.String(), Service: "desk", Health: setup.HealthByTraffic}}
	f.run("agent1", a.Run)
	f.publish(1, "ready")
	var callers sync.WaitGroup
	for i := 0; i < 400 && !f.logs.contains("server performs badly"); i++ {
		callers.Go(func() {
			if flow, err := f.caller.Open(); err == nil {
				_, _ = flow.SendRequest(fmt.Sprint(i), 600*time.Millisecond) // fails at the bad server
				flow.Close()
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
	assert.Assert(t, f.logs.contains("server performs badly"))
	page := f.metricsPage("server", 1)
	assert.Assert(t, strings.Contains(page, "dogwood_agent_server_bad 1"), "%s", page)
	assert.Assert(t, strings.Contains(page, `dogwood_agent_failed_requests_total{kind="Abandoned"}`), "%s", page)
	failed := 0
	for i := range 10 {
		flow, err := f.caller.Open()
		assert.NilError(t, err)
		if _, err := flow.SendRequest(fmt.Sprint("later", i), time.Second); err != nil {
			failed++
		}
		flow.Close()
	}
	assert.Assert(t, failed <= 2, "%d of 10 callers met the bad server, one as a trial at most each 0.4 s", failed)
}
