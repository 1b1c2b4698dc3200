package netsim

import (
	"encoding/json"
	"fmt"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
)

// Platform simulates the service that holds the configuration.
type Platform struct {
	Down          bool   // polls fail
	StaleRevision uint64 // newest revision that stale answers contain; 0 means answers are not stale
	Calls         uint64 // polls received

	changes      []spread.Change // change i leads to revision i+1
	pendingPolls []pendingPoll
}

// pendingPoll is a poll that waits for a revision after the given one.
type pendingPoll struct {
	host       *Host
	generation int // of the host at the time of the poll
	after      uint64
}

// pollTimeout is how long the platform holds a poll open while there is no change.
const pollTimeout = 20 * clock.Second

// Publish writes and removes files as a new revision, answers the pending polls and
// returns the revision.
func (w *World) Publish(files []conf.File, removed ...string) uint64 {
	p := &w.Platform
	revision := uint64(len(p.changes) + 1)
	p.changes = append(p.changes, spread.Change{From: revision - 1, Revision: revision, Written: files, Removed: removed})
	pending := p.pendingPolls
	p.pendingPolls = nil
	for _, poll := range pending {
		poll.host.answerPoll(poll.generation, poll.after)
	}
	return revision
}

// since returns the changes after a revision, merged into one.
func (p *Platform) since(after uint64) spread.Change {
	newest := uint64(len(p.changes))
	if p.StaleRevision != 0 {
		newest = min(newest, p.StaleRevision)
	}
	out := spread.Change{From: after, Revision: newest}
	files := make(map[string]conf.File)
	removed := make(map[string]bool)
	for _, change := range p.changes[min(after, newest):newest] {
		for _, file := range change.Written {
			files[file.Name] = file
			delete(removed, file.Name)
		}
		for _, name := range change.Removed {
			delete(files, name)
			removed[name] = true
		}
	}
	for _, file := range files {
		out.Written = append(out.Written, file)
	}
	for name := range removed {
		out.Removed = append(out.Removed, name)
	}
	return out
}

// poll polls the platform. If there is no newer revision, the platform answers when one
// is published, and again after pollTimeout. If the platform is stale or the poll fails,
// the result comes without that wait.
func (h *Host) poll(after uint64) {
	p := &h.world.Platform
	p.Calls++
	generation := h.generation
	if !p.Down && !h.NoConfigUpdates && !h.PlatformUnreachable && p.StaleRevision == 0 && after >= uint64(len(p.changes)) {
		p.pendingPolls = append(p.pendingPolls, pendingPoll{h, generation, after})
		h.world.After(pollTimeout, func() { h.answerPoll(generation, after) })
		return
	}
	h.answerPoll(generation, after)
}

// answerPoll returns the result of a poll to the process after a delay of 1 to 5 ms,
// unless the process that polled has ended.
func (h *Host) answerPoll(generation int, after uint64) {
	h.world.After(1+clock.Millis(h.world.Random.Int64N(5)), func() {
		if h.generation != generation {
			return
		}
		h.whenResumed(func() {
			change, ok := h.world.Platform.since(after), !h.world.Platform.Down && !h.NoConfigUpdates && !h.PlatformUnreachable
			if h.Balancer != nil {
				h.perform(h.Balancer.HandlePoll(h.localTime(), change, ok))
			} else {
				h.perform(h.Agent.HandlePoll(h.localTime(), change, ok))
			}
		})
	})
}

// fetch fetches the change after a revision from a neighbour. If the neighbour is down,
// the process receives the zero change.
func (h *Host) fetch(from place.ID, after uint64) {
	neighbour := h.world.hostsByID[from]
	generation := h.generation
	deliver := func(change spread.Change) {
		if h.generation != generation {
			return
		}
		if h.Balancer != nil {
			h.perform(h.Balancer.HandleFetch(h.localTime(), change))
		} else {
			h.perform(h.Agent.HandleFetch(h.localTime(), change))
		}
	}
	if neighbour == nil || !neighbour.Up {
		h.world.transmit(h, h, func() { deliver(spread.Change{}) })
		return
	}
	h.world.transmit(h, neighbour, func() {
		var change spread.Change
		if neighbour.Balancer != nil {
			change = neighbour.Balancer.Config().Since(after)
		} else {
			change = neighbour.Agent.Config().Since(after)
		}
		h.world.countFetchBytes(h, neighbour, change)
		h.world.transmit(neighbour, h, func() { deliver(change) })
	})
}

// fetchOverheadBytes is the size of the TCP connection setup and the JSON-RPC framing
// of one fetch.
const fetchOverheadBytes = 700

// countFetchBytes adds the bytes of a fetched configuration change to the counters.
func (w *World) countFetchBytes(to, from *Host, change spread.Change) {
	if !w.CountControlBytes {
		return
	}
	raw, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	size := uint64(len(raw) + fetchOverheadBytes)
	w.ControlBytes += size
	to.ControlBytes += size
	from.ControlBytes += size
}

// Layout is the size of a deployment. Servers and balancers are assigned to the data
// centres in turn.
type Layout struct {
	DataCentres int // number of data centres
	Balancers   int
	Services    []ServiceLayout
}

// ServiceLayout is the size of one service.
type ServiceLayout struct {
	Name    string
	Servers int
	Slots   int // requests that each server runs at once
}

// Ports of the two endpoints of every service.
const (
	StreamPort  = 443
	RequestPort = 444
)

// DataCentreName returns the name of the n-th data centre, counted from 0.
func DataCentreName(n int) string { return fmt.Sprintf("centre-%d", n) }

// ServerName returns the name of the n-th server of a service, counted from 0.
func ServerName(service string, n int) string { return fmt.Sprintf("%s-%d", service, n) }

// ConfigFiles returns the configuration that declares a layout, as one file. Service i
// has the address of FlowKey(n, i); the method "hold" of every service is not idempotent.
func (l Layout) ConfigFiles() []conf.File {
	var dataCentres []conf.DataCentre
	for i := range l.DataCentres {
		dataCentres = append(dataCentres, conf.DataCentre{Name: DataCentreName(i)})
	}
	var services []conf.Service
	var servers []conf.BackendServer
	hostNumber := 1
	for i, service := range l.Services {
		services = append(services, conf.Service{
			Name: service.Name, Address: fmt.Sprintf("192.168.%d.%d", i/250, i%250+1),
			Endpoints: []conf.Endpoint{
				{Protocol: conf.Tcp, Port: StreamPort, Carries: conf.CarryStreams},
				{Protocol: conf.Udp, Port: RequestPort, Carries: conf.CarryRequests},
			},
			NonIdempotent: []string{"hold"}, DeadlineMs: 3000,
		})
		for n := range service.Servers {
			servers = append(servers, conf.BackendServer{
				Name: ServerName(service.Name, n), Host: hostAddress(hostNumber), DataCentre: DataCentreName(n % l.DataCentres),
				Service: service.Name, Slots: service.Slots, Connections: 100_000, Weight: 100,
			})
			hostNumber++
		}
	}
	var balancers []conf.Balancer
	for i := range l.Balancers {
		balancers = append(balancers, conf.Balancer{Name: fmt.Sprintf("balancer-%d", i), Host: hostAddress(hostNumber), DataCentre: DataCentreName(i % l.DataCentres)})
		hostNumber++
	}
	return []conf.File{encodeConfig("10-world.json", services, dataCentres, servers, balancers)}
}

// Build publishes the configuration of a layout and starts all its processes.
func (w *World) Build(l Layout) {
	w.Publish(l.ConfigFiles())
	for _, service := range l.Services {
		for n := range service.Servers {
			w.AddAgent(ServerName(service.Name, n), DataCentreName(n%l.DataCentres), service.Slots)
		}
	}
	for i := range l.Balancers {
		w.AddBalancer(fmt.Sprintf("balancer-%d", i), DataCentreName(i%l.DataCentres))
	}
}

// Override publishes a file that sets one field of one object, and returns the
// revision. The kind is the key of the object's list, for example "BackendServers".
func (w *World) Override(file, kind, object, field string, value any) uint64 {
	raw, err := json.Marshal(map[string]any{
		"Owner": "operator", kind: []map[string]any{{"Name": object, field: value}},
	})
	if err != nil {
		panic(err)
	}
	return w.Publish([]conf.File{{Name: file, Content: raw}})
}

// encodedConfig is the content of a configuration file. Its objects are maps, because
// the file contains enum values by name.
type encodedConfig struct {
	Owner          string
	DataCentres    []map[string]any
	Services       []map[string]any
	BackendServers []map[string]any
	Balancers      []map[string]any
}

// encodeConfig returns a configuration file that declares the given objects.
func encodeConfig(name string, services []conf.Service, dataCentres []conf.DataCentre, servers []conf.BackendServer, balancers []conf.Balancer) conf.File {
	out := encodedConfig{Owner: "world"}
	for _, c := range dataCentres {
		out.DataCentres = append(out.DataCentres, map[string]any{"Name": c.Name, "State": c.State.String()})
	}
	for _, s := range services {
		var endpoints []map[string]any
		for _, e := range s.Endpoints {
			endpoints = append(endpoints, map[string]any{"Protocol": e.Protocol.String(), "Port": e.Port, "Carries": e.Carries.String()})
		}
		out.Services = append(out.Services, map[string]any{
			"Name": s.Name, "Address": s.Address, "Endpoints": endpoints, "NonIdempotent": s.NonIdempotent, "DeadlineMs": s.DeadlineMs,
		})
	}
	for _, s := range servers {
		out.BackendServers = append(out.BackendServers, map[string]any{
			"Name": s.Name, "Host": s.Host, "DataCentre": s.DataCentre, "Service": s.Service,
			"Slots": s.Slots, "Connections": s.Connections, "Weight": s.Weight, "State": s.State.String(),
		})
	}
	for _, b := range balancers {
		out.Balancers = append(out.Balancers, map[string]any{"Name": b.Name, "Host": b.Host, "DataCentre": b.DataCentre})
	}
	raw, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return conf.File{Name: name, Content: raw}
}
