package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// foreignEntry has another writer leave a copy of a server's entry in the store, without
// the field seq. The server drains afterwards.
func foreignEntry(w *world, trouble bool) ([]string, error) {
	if err := w.configure("desk", "desk"); err != nil {
		return nil, err
	}
	if err := startAll(w, []string{"zone-a", "zone-b"}, map[string]int{"desk": 3}); err != nil {
		return nil, err
	}
	leaving := w.servers[0]
	w.routeTo(w.balancers[0])
	if trouble {
		if err := putCopyWithoutSeq(w, leaving); err != nil {
			return nil, err
		}
		w.logf("another writer: copy of the entry of %s without seq, under its own key", leaving.name)
	}
	time.Sleep(2 * time.Second)
	leaving.publish("draining")
	confirmed := time.Now()
	var broken []string
	for _, b := range w.balancers {
		w.routeTo(b)
		time.Sleep(time.Until(confirmed.Add(drainTime + 500*time.Millisecond)))
		for range 2 * flowsOpened {
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

// putCopyWithoutSeq writes a copy of a server's entry under a key of its own, without the
// field seq.
func putCopyWithoutSeq(w *world, s *backend) error {
	raw, err := json.Marshal(s.entry("ready"))
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	delete(fields, "seq")
	fields["born"] = s.born // a whole number, which the map would write as a fraction
	w.store.PutJSON("servers/"+s.name+".copy", fields)
	return nil
}

// unnamedService has another writer leave an entry in the store that names a server's
// address and a service that the configuration does not name. Flows are open at the
// server.
func unnamedService(w *world, trouble bool) ([]string, error) {
	if err := w.configure("desk", "desk"); err != nil {
		return nil, err
	}
	if err := startAll(w, []string{"zone-a", "zone-b"}, map[string]int{"desk": 3}); err != nil {
		return nil, err
	}
	w.routeTo(w.balancers[0])
	var flows []*openFlow
	for range 3 * flowsOpened {
		f, err := w.open()
		if err != nil {
			return nil, fmt.Errorf("%w: open a flow: %w", errSetup, err)
		}
		flows = append(flows, f)
	}
	named := flows[0].server
	if trouble {
		entry := named.entry("ready")
		entry.Backend = "desk-retired"
		w.store.Publish(named.name+".note", entry)
		w.logf("another writer: entry with the address of %s and the service desk-retired, under its own key", named.name)
	}
	time.Sleep(2 * time.Second)
	var broken []string
	for _, f := range flows {
		if w.use(f) {
			broken = append(broken, fmt.Sprintf("FLOW: flow %v got a reset that its server %s did not send", f.flow.Local(), f.server.name))
		}
	}
	return broken, nil
}
