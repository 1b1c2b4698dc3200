// Package conf parses, merges and validates the configuration folder. Each JSON file
// declares objects or overrides single fields of objects that files earlier in the
// order of names declare. Build merges files into a Set, With derives the next Set from
// changed files, and both return Findings with positions in the files.
//
// The result is a pure function of the files: processes with the same files accept or
// reject them alike and compute the same hash.
package conf

import "dogwoodlanding.example/dogwood/pkg/clock"

//go:generate stringer -type=CentreState -trimprefix=Centre -output=centrestate_string.go
//go:generate stringer -type=ServerState -trimprefix=Server -output=serverstate_string.go
//go:generate stringer -type=Protocol -output=protocol_string.go
//go:generate stringer -type=TrafficKind -trimprefix=Carry -output=carriage_string.go
//go:generate stringer -type=Severity -output=severity_string.go

// CentreState is the configured state of a data centre.
type CentreState int

// States of a data centre.
const (
	CentreIn  CentreState = iota // takes traffic
	CentreOut                    // receives no packets; its flows are abandoned
)

// ServerState is the configured state of a backend server.
type ServerState int

// States of a backend server.
const (
	ServerServing ServerState = iota // accepts new flows and requests
	ServerLeaving                    // draining: keeps its flows, accepts no new work
)

// Protocol is the transport protocol of an endpoint.
type Protocol int

// Transport protocols.
const (
	Tcp Protocol = iota
	Udp
)

// TrafficKind is the kind of traffic that an endpoint carries.
type TrafficKind int

// Kinds of endpoint traffic.
const (
	CarryStreams  TrafficKind = iota // long-lived flows, forwarded packet by packet
	CarryRequests                    // requests, terminated by the agent
)

// Ports that every balancer and agent opens on the address of its host.
const (
	PacketPort  = 6080 // UDP, encapsulated IP packets
	ControlPort = 6081 // UDP, control messages
	RPCPort     = 6082 // TCP, JSON-RPC for configuration snapshots
	AdminPort   = 6083 // TCP, HTTP status pages and metrics for operators
)

// Limits and defaults of configuration values.
const (
	MaxFileBytes            = 1 << 20 // the platform's store limits a value to 1 MiB
	MaxSlots                = 100_000
	MaxConnections          = 10_000_000
	MaxWeight               = 1000
	DefaultWeight           = 100
	maxDeadlineMs           = 600_000
	DefaultDeadline         = 5 * clock.Second
	DefaultObjectivePercent = 99.9
	DefaultRetryPercent     = 10.0 // of successful requests; package retry allows no more
)

// Endpoint is a protocol and port on which a service accepts traffic.
type Endpoint struct {
	Protocol Protocol
	Port     int
	Carries  TrafficKind
}

// Service is a service that client accounts reach at one IP address.
type Service struct {
	Name             string
	Removed          bool
	Address          string // destination IP address of the callers' packets
	Endpoints        []Endpoint
	NonIdempotent    []string // request methods that must run at most once
	DeadlineMs       int      // longest duration of a request; 0 means DefaultDeadline
	ObjectivePercent float64  // of flows and requests that must succeed; 0 means DefaultObjectivePercent
	RetryPercent     float64  // retries for every 100 successful requests; 0 and more than 10 mean 10
}

// Deadline returns the longest duration of a request of the service.
func (s Service) Deadline() clock.Millis {
	if s.DeadlineMs == 0 {
		return DefaultDeadline
	}
	return clock.Millis(s.DeadlineMs)
}

// Idempotent reports whether a request with this method may run more than once.
func (s Service) Idempotent(method string) bool {
	for _, m := range s.NonIdempotent {
		if m == method {
			return false
		}
	}
	return true
}

// DataCentre is a location of hosts that can be taken out of service as a whole.
type DataCentre struct {
	Name    string
	Removed bool
	Region  string // data centres of one region are the least likely to lose contact; may be empty
	State   CentreState
}

// BackendServer is one server of a service. Its agent runs on the same host.
type BackendServer struct {
	Name        string
	Removed     bool
	Host        string // IP address of the host that runs the server and its agent
	DataCentre  string
	Service     string
	Slots       int // concurrent requests once warmed up
	Connections int // concurrent flows once warmed up
	Weight      int // relative share of the service's new work; 0 means DefaultWeight
	State       ServerState
}

// EffectiveWeight returns the weight, or DefaultWeight if none is set.
func (b BackendServer) EffectiveWeight() int {
	if b.Weight == 0 {
		return DefaultWeight
	}
	return b.Weight
}

// Balancer is a host that receives the callers' packets.
type Balancer struct {
	Name       string
	Removed    bool
	Host       string // IP address
	DataCentre string
}
