package main

import (
	"fmt"
	"net/netip"
	"time"
)

// silentStore leaves the store silent for 0.2 s, in which the balancers renew their
// watches. Just after it is back, a configuration that drops a route is confirmed.
func silentStore(w *world, trouble bool) ([]string, error) {
	kept, dropped := w.service(), w.addr(4, 2, 8080)
	if err := w.configureRoutes([]netip.AddrPort{kept, dropped}, "desk", "desk"); err != nil {
		return nil, err
	}
	if err := startAll(w, []string{"zone-a", "zone-b"}, map[string]int{"desk": 3}); err != nil {
		return nil, err
	}
	caller, err := w.newCaller(2, dropped)
	if err != nil {
		return nil, err
	}
	w.routeTo(w.balancers[0])
	if _, err := w.openFrom(caller); err != nil {
		return nil, fmt.Errorf("%w: open a flow on the route before it is dropped: %w", errSetup, err)
	}
	w.setEvacuated("zone-c", true) // a change, after which the balancers pause for 300 ms
	time.Sleep(200 * time.Millisecond)
	if trouble {
		w.setSilent(true)
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		w.setSilent(false)
	}
	back := time.Now()
	time.Sleep(50 * time.Millisecond)
	if err := w.configureRoutes([]netip.AddrPort{kept}, "desk", "desk"); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	time.Sleep(time.Until(back.Add(contact + 50*time.Millisecond)))
	w.logf("all machines are in touch")
	var broken []string
	for i := 0; time.Since(back) < contact+1500*time.Millisecond; i++ {
		b := w.balancers[i%len(w.balancers)]
		w.routeTo(b)
		sent := time.Since(confirmed)
		f, err := w.openFrom(caller)
		if err == nil && sent > applyTime {
			broken = append(broken, fmt.Sprintf("CONFIG: %s ran a request on a dropped route through %s, sent %d ms after the version was confirmed", f.server.name, b.name(), sent.Milliseconds()))
			f.flow.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return broken, nil
}

// setSilent makes the store answer no request that arrives, for all balancers.
func (w *world) setSilent(on bool) {
	for _, b := range w.balancers {
		b.front.setSilent(on)
	}
	w.logf("store silent: %v", on)
}
