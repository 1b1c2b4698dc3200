package main

import (
	"fmt"
	"syscall"
	"time"
)

// flowsOpened is how many flows a case opens at most.
const flowsOpened = 10

// startAll starts balancers and servers, and waits until the balancers are ready.
func startAll(w *world, zones []string, services map[string]int) error {
	for _, service := range []string{"desk", "desk-next"} {
		for i := range services[service] {
			s, err := w.addServer(service, zones[i%len(zones)])
			if err != nil {
				return err
			}
			s.publish("ready")
		}
	}
	for _, zone := range zones {
		if _, err := w.addBalancer(zone); err != nil {
			return err
		}
	}
	for _, b := range w.balancers {
		if err := b.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // agents have replied
	return w.addCaller()
}

// restart stops a balancer as at planned work and starts it again.
func restart(w *world, b *balancer) error {
	w.signal(b.process, syscall.SIGTERM)
	<-b.process.done
	time.Sleep(500 * time.Millisecond)
	if err := b.start(); err != nil {
		return err
	}
	return b.awaitReady(10 * time.Second)
}

// retire drains a server, ends it after drain_ms, and takes its host away.
func retire(w *world, s *backend) {
	s.publish("draining")
	time.Sleep(drainTime + 200*time.Millisecond)
	s.server.Stop()
	w.logf("server %s ends", s.name)
	w.store.Withdraw(s.name)
	w.signal(s.process, syscall.SIGTERM)
	<-s.process.done
	time.Sleep(500 * time.Millisecond)
}

// movedRoute changes the weights of a route so that all its new flows go to one of its two
// services, restarts one balancer as planned work, and goes on with flows that were opened
// at the other service before.
func movedRoute(w *world, trouble bool) ([]string, error) {
	if err := w.configureSplit([]target{{"desk", 90}, {"desk-next", 10}}, "desk", "desk-next"); err != nil {
		return nil, err
	}
	if err := startAll(w, []string{"zone-a", "zone-b"}, map[string]int{"desk": 2, "desk-next": 2}); err != nil {
		return nil, err
	}
	first, second := w.balancers[0], w.balancers[1]
	w.routeTo(first)
	var flows []*openFlow
	for range 2 * flowsOpened {
		f, err := w.open()
		if err != nil {
			return nil, fmt.Errorf("%w: open a flow before the change: %w", errSetup, err)
		}
		if f.server.service == "desk" && len(flows) < flowsOpened {
			flows = append(flows, f)
		} else {
			f.flow.Close()
		}
	}
	if err := w.configureSplit([]target{{"desk-next", 100}}, "desk", "desk-next"); err != nil {
		return nil, err
	}
	time.Sleep(applyTime + time.Second)
	f, err := w.open()
	if err != nil || f.server.service != "desk-next" {
		return nil, fmt.Errorf("%w: open a flow after the change: %w", errSetup, err)
	}
	var broken []string
	useAll := func(when string) {
		for _, f := range flows {
			if w.use(f) {
				broken = append(broken, fmt.Sprintf("FLOW: %s, flow %v got a reset that its server %s did not send", when, f.flow.Local(), f.server.name))
			}
		}
	}
	useAll("before the restart")
	w.routeTo(second) // the first one is about to leave the rotation
	useAll("through the other balancer")
	if trouble {
		if err := restart(w, first); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(2500 * time.Millisecond)
	}
	w.routeTo(first) // it is back in the rotation
	useAll("after the restart")
	return broken, nil
}

// twoEvacuations evacuates a zone, takes it back and evacuates it again. The server there
// is replaced during the first evacuation. One balancer is cut off from the store from before
// the zone is taken back until after the second evacuation.
func twoEvacuations(w *world, trouble bool) ([]string, error) {
	if err := w.configure("desk", "desk"); err != nil {
		return nil, err
	}
	if err := startAll(w, []string{"zone-a", "zone-b"}, map[string]int{"desk": 2}); err != nil {
		return nil, err
	}
	first, second := w.balancers[0], w.balancers[1]
	w.routeTo(first)
	w.setEvacuated("zone-a", true)
	time.Sleep(500 * time.Millisecond)
	late, err := w.addServer("desk", "zone-a") // the new one starts first
	if err != nil {
		return nil, err
	}
	late.publish("ready")
	time.Sleep(time.Second)
	retire(w, w.servers[0])
	cutAt := time.Now()
	if trouble {
		w.logf("%s is cut off from the store", second.name())
		second.front.setCut(true)
	}
	time.Sleep(500 * time.Millisecond)
	w.setEvacuated("zone-a", false)
	time.Sleep(500 * time.Millisecond)
	var flows []*openFlow
	for range 6 * flowsOpened {
		f, err := w.open()
		if err != nil {
			continue
		}
		if f.server == late {
			flows = append(flows, f)
		} else {
			f.flow.Close()
		}
		if len(flows) == flowsOpened {
			break
		}
	}
	if len(flows) == 0 {
		return nil, fmt.Errorf("%w: no flow opened at the new server", errSetup)
	}
	time.Sleep(time.Until(cutAt.Add(5300 * time.Millisecond)))
	w.setEvacuated("zone-a", true)
	time.Sleep(time.Until(cutAt.Add(5500 * time.Millisecond)))
	healedAt := time.Now()
	if trouble {
		second.front.setCut(false)
		w.logf("the cut heals")
	}
	time.Sleep(time.Until(healedAt.Add(2 * time.Second)))
	for _, f := range flows {
		w.use(f)
	}
	time.Sleep(time.Until(healedAt.Add(contact + 100*time.Millisecond)))
	w.logf("all machines are in touch")
	w.routeTo(second)
	var broken []string
	for _, f := range flows {
		if w.use(f) {
			broken = append(broken, fmt.Sprintf("FLOW: flow %v got a reset that its server %s did not send", f.flow.Local(), f.server.name))
		}
	}
	return broken, nil
}

// newServer restarts a balancer as planned work just after a server was listed, while the
// releases of two services are under way. Flows that the restarted balancer opens at the
// new server then go through another balancer, since a third one leaves the rotation.
func newServer(w *world, trouble bool) ([]string, error) {
	if err := w.configure("desk", "desk", "desk-next"); err != nil {
		return nil, err
	}
	if err := startAll(w, []string{"zone-a", "zone-b", "zone-c"}, map[string]int{"desk": 3, "desk-next": 2}); err != nil {
		return nil, err
	}
	first, second, third := w.balancers[0], w.balancers[1], w.balancers[2]
	w.routeTo(second)
	fresh, err := w.addServer("desk", "zone-a")
	if err != nil {
		return nil, err
	}
	next, err := w.addServer("desk-next", "zone-b")
	if err != nil {
		return nil, err
	}
	if trouble {
		w.signal(first.process, syscall.SIGTERM)
		<-first.process.done
	}
	time.Sleep(time.Second) // the balancers wait for changes
	w.signal(third.process, syscall.SIGTERM)
	next.publish("ready")
	time.Sleep(400 * time.Millisecond)
	w.servers[3].publish("draining") // the server of desk-next that is replaced
	time.Sleep(80 * time.Millisecond)
	fresh.publish("ready")
	if trouble {
		if err := first.start(); err != nil {
			return nil, err
		}
		if err := first.awaitReady(5 * time.Second); err != nil {
			return nil, err
		}
	}
	w.routeTo(first) // it joins the rotation
	var flows []*openFlow
	for range 2 * flowsOpened {
		if f, err := w.open(); err == nil {
			flows = append(flows, f)
		}
	}
	time.Sleep(100 * time.Millisecond)
	w.routeTo(second) // the third one leaves the rotation
	var broken []string
	for _, f := range flows {
		if w.use(f) {
			broken = append(broken, fmt.Sprintf("FLOW: flow %v got a reset that its server %s did not send", f.flow.Local(), f.server.name))
		}
	}
	return broken, nil
}
