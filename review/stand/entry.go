package main

import (
	"fmt"
	"time"
)

// foreignEntry has another writer leave a copy of a server's entry in the store, without
// the field seq. The server drains afterwards.
func foreignEntry(w *world, trouble bool) ([]string, error) {
	w.configure("desk", "desk")
	if err := startAll(w, []string{"zone-a", "zone-b"}, map[string]int{"desk": 3}); err != nil {
		return nil, err
	}
	leaving := w.servers[0]
	w.routeTo(w.balancers[0])
	if trouble {
		w.store.PutJSON("servers/"+leaving.name+".copy", map[string]any{"backend": leaving.service, "addr": leaving.server.Address.String(), "zone": leaving.zone,
			"version": "v1", "slots": 7, "state": "ready", "warmup_left_ms": 0, "born": leaving.born})
		w.logf("another writer: copy of the entry of %s without seq, under its own key", leaving.name)
	}
	time.Sleep(2 * time.Second)
	leaving.publish("draining")
	confirmed := time.Now()
	var broken []string
	for _, b := range w.balancers {
		w.routeTo(b)
		time.Sleep(time.Until(confirmed.Add(drainTime + 500*time.Millisecond)))
		for range flowsOpened {
			sent := time.Since(confirmed)
			f, err := w.open()
			if err != nil {
				continue
			}
			if f.server == leaving {
				broken = append(broken, fmt.Sprintf("DRAIN: flow %v was opened at %s through %s %d ms after its drain was confirmed", f.flow.Local(), leaving.name, b.name(), sent.Milliseconds()))
			}
			f.flow.Close()
		}
	}
	return broken, nil
}
