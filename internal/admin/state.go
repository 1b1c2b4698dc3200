// Package admin serves the HTTP pages that operators and their tools read: health, state
// with service-level events, the history of configurations, the declared processes, and
// metrics.
package admin

import (
	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/spread"
)

// State is the state of one process at one instant.
type State struct {
	Name                 string
	Role                 string // "balancer" or "agent"
	DataCentre           string
	Service              string // of an agent's server
	Instance             uint64 // greater after each start of the process
	At                   clock.Millis
	Ready                bool   // may serve; see spread.Node.Ready
	Leased               bool   // holds its lease
	Reader               bool   // watches the platform in this epoch
	Revision             uint64 // in force, 0 for none
	Seen                 uint64 // highest revision seen, in force or not
	Hash                 string // of the configuration in force
	InForceSince         clock.Millis
	Rejected             uint64 // highest revision rejected for its errors
	Alarms               spread.Alarms
	FlowsHeld            int  // by an agent's server
	RequestLimit         int  // requests that may run at once at an agent's server
	OpeningLimit         int  // flows that may be between their first and second packet
	Cold                 bool // the limits of the server's warm-up are holding work back
	Draining             bool
	ClaimsInDoubt        int // undecided claims of an agent
	ClockSkewMs          clock.Millis
	ControlSentBytes     uint64
	ControlReceivedBytes uint64
	DroppedEvents        uint64 // because the queue to the core was full
	DroppedPackets       uint64 // because the queue to the core was full
	InvariantViolations  uint64
	Objective            float64           // of an agent's service, in percent
	Counts               map[string]uint64 // decisions since the start, by counter name
	Events               []burn.Bucket     // service-level events by minute
}

// Declared is a process that the configuration declares.
type Declared struct {
	Name string
	Host string
	Out  bool // its data centre is out of service
}

// FillConfig sets the time and the fields about the configuration.
func (s *State) FillConfig(now clock.Millis, n *spread.Node) {
	s.At = now
	s.Ready = n.Ready(now)
	s.Reader = n.Reader(now)
	s.Revision = n.Revision()
	s.Seen = n.Seen()
	s.Hash = n.Set().Hash()
	s.Rejected, _ = n.Rejected()
	s.Alarms = n.Alarms()
	if history := n.History(); len(history) > 0 {
		s.InForceSince = history[len(history)-1].At
	}
}
