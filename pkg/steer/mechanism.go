package steer

import (
	"fmt"
	"strings"
)

//go:generate go tool stringer -type=Mechanism -linecomment -output=mechanism_string.go

// Mechanism is a part of the decisions that can be disabled, for experiments that show
// what it is worth.
type Mechanism uint8

// Mechanisms of balancers and of agents. Comments say what is done with each.
const (
	// A balancer remembers which agents own flows.
	OwnerCache Mechanism = iota
	// It offers copies of a SYN to other agents than the original.
	RotateCopies
	// It offers new flows to silent agents last.
	SilentLast
	// A flow that all candidates deny as busy is queued at the least busy of them, not at
	// the last one.
	QueueAtLeastBusy
	// New flows prefer servers in the balancer's own data centre.
	PreferLocal
	// A new server receives new flows only after settleTime.
	Settle
	// An unlisted server counts as running until its entry had the time to return.
	AwaitEntry
	// A packet that needs a newer view is parked, not dropped.
	Park
	// Servers are tried with a packet only if no agent has a record of its flow and each
	// could be asked.
	LimitSearch
	// A balancer that reaches few agents is not ready.
	ReadyByReach
	// Flows of unreachable servers are reset.
	ResetUnreachable
	// Packets wait for the first replies of agents that were just listed.
	AwaitAgents
	// An agent with busy slots passes new flows on to other agents.
	PassOn
	// New flows are queued while all slots are busy.
	Queue
	// Of the queue, requests that can still be in time go first.
	InTimeFirst
	// The age of a SYN's copy counts against its goal.
	CopyAge
	// Of the queue, more urgent requests go first.
	UrgentFirst
	// Of the queue, newer requests go first.
	NewestFirst
	// A queue that takes too long to drain is cut.
	CutQueue
	// More flows are opened than there are slots, so that no slot idles.
	ExtraFlows
	// A server that does not answer SYNs receives new flows only as probes.
	ProbeSilentServer
	// A server that has lost its flows counts as cold.
	AssumeCold
	// A packet that acknowledges another server's sequence number is denied.
	CheckAck
	// A search asks only the agents that were among the first for the flow when it opened.
	BoundSearch
	// With Balancer.ByRoom, new flows visit their candidates in the order of a draw by
	// estimated spare capacity.
	OrderByRoom
	// With Balancer.ByRoom, a new flow queues at a busy server that is no busier than the
	// mean of its service, without further visits.
	QueueEarly
	// A server that fails too many requests receives new flows only as trials.
	EjectUnhealthy
	// Searches ask agents about many flows in one message.
	QueryMany
	mechanismCount // not a mechanism
)

// MechanismSet is a set of mechanisms. The zero value is empty.
type MechanismSet uint32

// ParseMechanisms returns the set of the mechanisms with these names. It returns an error
// that lists all names if one is not known.
func ParseMechanisms(names []string) (MechanismSet, error) {
	var set MechanismSet
	for _, name := range names {
		m, err := parseMechanism(name)
		if err != nil {
			return 0, err
		}
		set = set.With(m)
	}
	return set, nil
}

func parseMechanism(name string) (Mechanism, error) {
	var known []string
	for m := range mechanismCount {
		if m.String() == name {
			return m, nil
		}
		known = append(known, m.String())
	}
	return 0, fmt.Errorf("%q is not a mechanism, want one of %s", name, strings.Join(known, ", "))
}

// With returns the set with one more mechanism.
func (s MechanismSet) With(m Mechanism) MechanismSet { return s | 1<<m }

// Has reports whether the set holds a mechanism.
func (s MechanismSet) Has(m Mechanism) bool { return s&(1<<m) != 0 }
