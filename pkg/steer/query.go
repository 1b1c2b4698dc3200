package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Searches ask agents about many flows in one message. The load that this answers is a loss
// of power: every open flow is searched for within a second. With a packet for each flow and
// agent, hosts with links of 10 Mbit/s sent 1.8 MB of questions and took the agents, whose
// answers came late, for silent.
const (
	// MaxQueryFlows is the number of flows that one message asks about: it fits into a
	// datagram of 1,200 bytes.
	MaxQueryFlows = (1200 - headerBytes) / queryFlowBytes
	// queryFlowBytes is the encoded size of a QueryFlow.
	queryFlowBytes = 17
	// queryInterval is the time between two rounds of queries. The first one after a longer
	// time without is sent at once.
	queryInterval = 4 * clock.Millis(1)
)

// QueryFlow is a flow in a Query or DenyFlows message, with what its packet acknowledges.
type QueryFlow struct {
	Key    flow.Key
	HasACK bool
	Ack    uint32
}

// FlowsMessage is a Message that concerns several flows: a QueryFlows message to an agent, or
// a part of its answer.
type FlowsMessage struct {
	To      place.ID // agent that a QueryFlows message is for
	Message Message
	Flows   []QueryFlow
}

// Encode returns the encoded message and its flows.
func (q FlowsMessage) Encode() []byte {
	b := make([]byte, q.Message.Size(), q.Message.Size()+len(q.Flows)*queryFlowBytes)
	q.Message.Encode(b)
	for _, f := range q.Flows {
		b = append(append(b, f.Key.SourceIP[12:]...), f.Key.TargetIP[12:]...)
		b = binary.BigEndian.AppendUint16(b, f.Key.SourcePort)
		b = binary.BigEndian.AppendUint16(b, f.Key.TargetPort)
		b = binary.BigEndian.AppendUint32(b, f.Ack)
		var hasACK byte
		if f.HasACK {
			hasACK = 1
		}
		b = append(b, hasACK)
	}
	return b
}

// DecodeFlows decodes the flows that follow a QueryFlows or DenyFlows message. It returns
// ErrMessage if b holds anything else.
func DecodeFlows(b []byte) ([]QueryFlow, error) {
	if len(b)%queryFlowBytes != 0 || len(b) > MaxQueryFlows*queryFlowBytes {
		return nil, ErrMessage
	}
	flows := make([]QueryFlow, 0, len(b)/queryFlowBytes)
	for ; len(b) > 0; b = b[queryFlowBytes:] {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:])), binary.BigEndian.Uint16(b[8:]))
		target := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:])), binary.BigEndian.Uint16(b[10:]))
		flows = append(flows, QueryFlow{Key: KeyOf(source, target), Ack: binary.BigEndian.Uint32(b[12:]), HasACK: b[16] != 0})
	}
	return flows, nil
}

// queries holds the questions that a balancer has not sent yet.
type queries struct {
	flows    map[holder][]QueryFlow
	order    []holder     // keys of flows, in the order of their first question
	sending  []holder     // rest of the round that is being sent
	lastSent clock.Millis // when the last round began
}

func (q *queries) add(to holder, f QueryFlow) {
	if q.flows == nil {
		q.flows = make(map[holder][]QueryFlow)
	}
	if len(q.flows[to]) == 0 {
		q.order = append(q.order, to)
	}
	q.flows[to] = append(q.flows[to], f)
}

// query asks an agent whether its server holds the flow of a search, with the next round of
// queries. It reports whether the agent answers queries.
func (b *Balancer) query(s *search, to holder) bool {
	state := b.agentStates[to.agent]
	if state == nil || !state.answersQueries || b.Disabled.Has(QueryMany) {
		return false
	}
	s.queried = append(s.queried, to.agent)
	b.queries.add(to, QueryFlow{Key: s.packet.Key, HasACK: s.packet.HasACK, Ack: s.packet.Ack})
	return true
}

// NextQuery returns the next query to send, false if none is due. Call it until then, after
// each call of Resume and after QueryDelay.
func (b *Balancer) NextQuery(now clock.Millis) (FlowsMessage, bool) {
	q := &b.queries
	if len(q.sending) == 0 {
		if delay, waiting := b.QueryDelay(now); !waiting || delay > 0 {
			return FlowsMessage{}, false
		}
		q.sending, q.order, q.lastSent = q.order, nil, now
	}
	view := b.Registry.View(now)
	if view == nil {
		return FlowsMessage{}, false
	}
	to := q.sending[0]
	flows := q.flows[to]
	message := FlowsMessage{To: to.agent, Flows: flows[:min(len(flows), MaxQueryFlows)]}
	if rest := flows[len(message.Flows):]; len(rest) > 0 {
		q.flows[to] = rest
	} else {
		delete(q.flows, to)
		q.sending = q.sending[1:]
	}
	message.Message.Kind, message.Message.Reason, message.Message.KnownOnly = QueryFlows, Searching, true
	b.describeServer(now, view, to.agent, to.service, &message.Message)
	if message.Message.State == Unlisted {
		b.expectAnswer(now, to.agent)
	}
	return message, true
}

// QueryDelay returns how long the next round of queries has to wait, false if there is none.
func (b *Balancer) QueryDelay(now clock.Millis) (clock.Millis, bool) {
	q := &b.queries
	return max(0, q.lastSent+queryInterval-now), len(q.order) > 0 || len(q.sending) > 0
}

// DeniedFlows handles a DenyFlows message: an agent's denial of flows that a query asked
// about. Call Resume afterwards.
func (b *Balancer) DeniedFlows(now clock.Millis, from place.ID, m *Message, flows []QueryFlow) {
	for _, f := range flows {
		denial := *m
		denial.Kind, denial.Key, denial.PacketKept = DenyPacket, f.Key, true
		b.DeniedKept(now, from, &denial)
	}
}

// AnswerQuery returns the answer to a QueryFlows message: a HoldFlow message for each flow
// that the server holds or may hold by the agent's records, and a DenyFlows message for each
// reason why it does not.
func (a *Agent) AnswerQuery(now clock.Millis, m *Message, flows []QueryFlow) []FlowsMessage {
	a.init(now)
	a.updateServer(now, m)
	a.updateHealth(now, m)
	var answer []FlowsMessage
	for _, f := range flows {
		reason := WrongService
		if a.serves(m.Service) {
			reason = a.laterDenial(now, m, a.flows[f.Key], f.HasACK, f.Ack)
		}
		if reason == NoReason {
			held := FlowsMessage{Message: Message{Kind: HoldFlow, Key: f.Key, Load: a.Load(), Slots: a.Slots}}
			a.Report(&held.Message)
			answer = append(answer, held)
			continue
		}
		i := slices.IndexFunc(answer, func(d FlowsMessage) bool { return d.Message.Kind == DenyFlows && d.Message.Reason == reason })
		if i < 0 {
			denial := FlowsMessage{Message: Message{Kind: DenyFlows, Reason: reason, AgentStartMs: a.startOfRecords(reason), StoreRevision: a.storeRevision}}
			a.Report(&denial.Message)
			i, answer = len(answer), append(answer, denial)
		}
		a.counts.Denied++
		answer[i].Flows = append(answer[i].Flows, f)
	}
	return answer
}

// laterDenial returns why the server does not hold the flow of a packet that opens none,
// NoReason if it may. e is the flow's record, nil if there is none.
func (a *Agent) laterDenial(now clock.Millis, m *Message, e *flowEntry, hasACK bool, ack uint32) Reason {
	switch {
	case a.serverGone(now):
		return ServerGone
	case e == nil && a.knowsAllFlows(now):
		return NotHeld
	case m.KnownOnly && (e == nil || e.phase == probing):
		return FlowUnknown
	case e == nil:
		return NoReason
	case e.phase == returned: // final: only a SYN opens a flow
		return NotHeld
	case e.hasServerISN && hasACK && ack-e.serverISN > ackWindow && !a.Disabled.Has(CheckAck):
		return AckMismatch
	}
	return NoReason
}

// startOfRecords returns the start of the agent for a denial as FlowUnknown, see
// Message.AgentStartMs.
func (a *Agent) startOfRecords(reason Reason) int64 {
	if reason != FlowUnknown || a.missedFlow {
		return 0
	}
	return a.StartMs
}
