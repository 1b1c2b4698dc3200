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

// Limits on flows.
const (
	// Flows that may be opened at once for each slot of a warm server.
	openingsPerSlot = 8
	// A flow whose second packet takes longer has failed to open.
	openingTimeout = 3 * clock.Second
	// Idle time after which a flow that the server does not list is forgotten.
	unlistedFlowGrace = 5 * clock.Second
)

// Carries returns what the endpoint that a packet is addressed to carries, and
// whether the endpoint belongs to this agent's service.
func (a *Agent) Carries(key flow.Key) (conf.TrafficKind, bool) {
	target, ok := a.lookupEndpoint(key)
	return target.carries, ok && target.service == a.server.Service
}

// Packet handles a packet of a stream. The envelope holds the raw packet and, if
// another agent forwarded it, the agents it has visited. Packets are dropped if the
// agent has no configuration, if its server is not declared or in a data centre that
// is out, or if they belong to another service.
func (a *Agent) Packet(now clock.Millis, info packet.Info, envelope wire.Envelope) []Action {
	a.init(now)
	if !a.config.Ready(now) || !a.enabled && !a.Identity.disabled(DropWhenOut) {
		a.counts.OutDropped++
		return nil
	}
	if _, ownService := a.Carries(info.Key); !ownService && !a.Identity.disabled(ServiceCheck) {
		a.counts.Misaddressed++
		return nil
	}
	decision := a.flows.Decide(now, flow.Packet{
		Key: info.Key, First: info.OpensConnection, Last: info.EndsConnection,
		Visited: envelope.Visited, Hops: envelope.Hops, Skipped: envelope.Skipped, Round: envelope.Round,
	})
	if decision.Verdict == flow.Forward && !info.OpensConnection && a.Identity.disabled(ForwardToOwner) {
		decision.Verdict = flow.Refuse
	}
	a.trackFlowOpening(now, info, decision)
	switch decision.Verdict {
	case flow.Deliver:
		return a.deliverPacket(info, envelope)
	case flow.Forward:
		return a.forwardPacket(envelope, decision)
	case flow.Refuse:
		a.counts.Refused++
		return resetCaller(info)
	}
	a.counts.Dropped++
	return nil
}

// trackFlowOpening passes the time between a flow's first and second packet to the
// limiter of flows being opened.
func (a *Agent) trackFlowOpening(now clock.Millis, info packet.Info, decision flow.Decision) {
	if decision.Opened {
		a.counts.FlowsOpened++
		a.openedAt[info.Key] = now
		return
	}
	if info.OpensConnection {
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

// deliverPacket forwards a packet to the server. If another agent forwarded it here,
// it sends the balancer a hint, so that the next packets of the flow come directly.
func (a *Agent) deliverPacket(info packet.Info, envelope wire.Envelope) []Action {
	a.counts.Delivered++
	if !invar.Holds(a.flows.Holds(info.Key) || info.EndsConnection, "a delivered packet belongs to a held flow") {
		return nil
	}
	out := []Action{{ToServer: envelope.Packet}}
	if envelope.Hops > 0 && envelope.Balancer != 0 {
		hint := wire.Hint{Hash: info.Key.Hash(), Owner: a.self}
		if info.EndsConnection {
			hint.Owner = 0
		}
		out = append(out, Action{Control: &Control{envelope.Balancer, wire.Message{From: a.self, Hint: &hint}}})
	}
	return out
}

// forwardPacket forwards a packet to the next agent. The hop count starts again when the
// packet enters the final round.
func (a *Agent) forwardPacket(envelope wire.Envelope, decision flow.Decision) []Action {
	if decision.Round == flow.FinalRound && envelope.Round != flow.FinalRound {
		envelope.Hops = 0
	}
	envelope.Visited, envelope.Skipped, envelope.Round = decision.Visited, decision.Skipped, decision.Round
	envelope.Hops++
	raw, err := wire.EncodeEnvelope(envelope)
	if err != nil {
		a.counts.Dropped++
		return nil
	}
	a.counts.Passed++
	return []Action{{Forward: &Forward{decision.Next, raw}}}
}

// resetCaller answers a TCP packet with a reset to its caller. Other packets, and the
// last packet of a flow, get no answer.
func resetCaller(info packet.Info) []Action {
	if info.Key.Protocol != packet.ProtocolTCP || info.EndsConnection {
		return nil
	}
	raw, err := packet.Reset(info)
	if err != nil {
		return nil
	}
	return []Action{{ToCaller: raw}}
}

// expireOpenings reports flows without a second packet to the limiter as failed.
func (a *Agent) expireOpenings(now clock.Millis) {
	for key, at := range a.openedAt {
		if now-at > openingTimeout {
			delete(a.openedAt, key)
			a.openLimiter.Done(now, admit.Sample{Latency: now - at, Shed: true})
		}
	}
}

// Load reports to other agents of the service.
const (
	loadReportInterval = 1 * clock.Second
	loadReportFanout   = 4 // most random agents that get a report
)

// ownLoad returns the load report of this agent's server.
func (a *Agent) ownLoad() share.Report {
	return share.Report{Held: a.flows.FlowCount(), Weight: a.server.EffectiveWeight()}
}

// sendLoadReports sends this server's load to a few random agents of the service when
// the interval has passed. An agent that takes no new work sends none.
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
			out = append(out, Action{Control: &Control{to, wire.Message{From: a.self, LoadReport: &load}}})
		}
	}
	return out
}
