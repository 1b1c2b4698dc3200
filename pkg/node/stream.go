package node

import (
	"dogwoodlanding.example/dogwood/pkg/admit"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/invar"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/share"
	"dogwoodlanding.example/dogwood/pkg/wire"
)

// Limits of the flows that are being opened.
const (
	openingsPerSlot   = 8                // opened at once on a warm server, for each slot
	openingTimeout    = 3 * clock.Second // without a second packet, the opening failed
	unlistedFlowGrace = 5 * clock.Second // before a flow the server does not list is forgotten
)

// Carries reports what a packet's endpoint carries, and whether the endpoint
// belongs to this agent's service.
func (a *Agent) Carries(key flow.Key) (conf.Carriage, bool) {
	target, ok := a.lookupEndpoint(key)
	return target.carries, ok && target.service == a.server.Service
}

// Packet handles a packet of a stream. The walk holds the packet itself and,
// if another agent passed it on, where it has been.
func (a *Agent) Packet(now clock.Millis, info packet.Info, walk wire.Walk) []Action {
	a.init(now)
	if !a.config.Ready(now) || !a.enabled && !a.Identity.disabled(OutDrop) {
		a.counts.OutDropped++
		return nil
	}
	if _, ownService := a.Carries(info.Key); !ownService && !a.Identity.disabled(ServiceCheck) {
		a.counts.Misaddressed++
		return nil
	}
	decision := a.flows.Decide(now, flow.Packet{
		Key: info.Key, First: info.First, Last: info.Last,
		Visited: walk.Visited, Hops: walk.Hops, Skipped: walk.Skipped, Round: walk.Round,
	})
	if decision.Verdict == flow.Pass && !info.First && a.Identity.disabled(WalkToOwner) {
		decision.Verdict = flow.Refuse
	}
	a.trackFlowOpening(now, info, decision)
	switch decision.Verdict {
	case flow.Deliver:
		return a.deliverPacket(info, walk)
	case flow.Pass:
		return a.passPacket(walk, decision)
	case flow.Refuse:
		a.counts.Refused++
		return resetCaller(info)
	}
	a.counts.Dropped++
	return nil
}

// trackFlowOpening measures the time from a flow's first to its second packet.
func (a *Agent) trackFlowOpening(now clock.Millis, info packet.Info, decision flow.Decision) {
	if decision.Opened {
		a.counts.FlowsOpened++
		a.openedAt[info.Key] = now
		return
	}
	if info.First {
		if decision.Verdict != flow.Deliver {
			a.counts.FlowsDeclined++
		}
		return
	}
	firstAt, ok := a.openedAt[info.Key]
	if !ok {
		return
	}
	delete(a.openedAt, info.Key)
	a.openLimiter.Done(now, admit.Sample{Latency: now - firstAt})
}

func (a *Agent) deliverPacket(info packet.Info, walk wire.Walk) []Action {
	a.counts.Delivered++
	if !invar.Holds(a.flows.Holds(info.Key) || info.Last, "a delivered packet belongs to a held flow") {
		return nil
	}
	out := []Action{{ToServer: walk.Packet}}
	if walk.Hops > 0 && walk.Balancer != 0 {
		hint := wire.Hint{Hash: info.Key.Hash(), Owner: a.self}
		if info.Last {
			hint.Owner = 0
		}
		out = append(out, Action{Control: &Control{walk.Balancer, wire.Message{From: a.self, Hint: &hint}}})
	}
	return out
}

func (a *Agent) passPacket(walk wire.Walk, decision flow.Decision) []Action {
	if decision.Round == flow.Final && walk.Round != flow.Final {
		walk.Hops = 0
	}
	walk.Visited, walk.Skipped, walk.Round = decision.Visited, decision.Skipped, decision.Round
	walk.Hops++
	raw, err := wire.EncodeWalk(walk)
	if err != nil {
		a.counts.Dropped++
		return nil
	}
	a.counts.Passed++
	return []Action{{Forward: &Forward{decision.Next, raw}}}
}

func resetCaller(info packet.Info) []Action {
	if info.Key.Protocol != packet.Tcp || info.Last {
		return nil
	}
	raw, err := packet.Reset(info)
	if err != nil {
		return nil
	}
	return []Action{{ToCaller: raw}}
}

// expireOpenings counts openings without a second packet as failures.
func (a *Agent) expireOpenings(now clock.Millis) {
	for key, at := range a.openedAt {
		if now-at > openingTimeout {
			delete(a.openedAt, key)
			a.openLimiter.Done(now, admit.Sample{Latency: now - at, Shed: true})
		}
	}
}

// Reports of the load to other agents of the service.
const (
	loadReportInterval = 1 * clock.Second
	loadReportFanout   = 4
)

// ownLoad is the own server's load.
func (a *Agent) ownLoad() share.Report {
	return share.Report{Held: a.flows.Held(), Weight: a.server.EffectiveWeight()}
}

// sendLoadReports tells a few random agents of the service the own load.
func (a *Agent) sendLoadReports(now clock.Millis) []Action {
	ids := a.flows.Table().IDs()
	if now-a.loadReportedAt < loadReportInterval || len(ids) < 2 || a.isDraining() {
		return nil
	}
	a.loadReportedAt = now
	var out []Action
	for range min(loadReportFanout, len(ids)-1) {
		to := ids[a.Identity.Random.IntN(len(ids))]
		if to != a.self {
			load := a.ownLoad()
			out = append(out, Action{Control: &Control{to, wire.Message{From: a.self, Load: &load}}})
		}
	}
	return out
}
