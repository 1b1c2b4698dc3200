package path_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/internal/setup"
)

// If reports did not reach the balancers, ByRoom would silently be the order of the hash.
func TestReportsReachBalancers(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.balance = setup.BalanceByRoom
	f.startBalancer(0)
	f.eventually(func() bool {
		f.openFlow("request")
		time.Sleep(20 * time.Millisecond)
		return strings.Contains(f.metricsPage("balancer", 0), `dogwood_room_reports{service="desk"} 2`)
	}, "the balancer has reports of both agents")
	for i := range 20 {
		f.openFlow(fmt.Sprint("request ", i))
	}
}
