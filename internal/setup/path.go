package setup

import (
	"dogwoodlanding.example/dogwood/pkg/sched"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

// Path holds the settings that the balancers and agents of internal/path have in common.
type Path struct {
	Name       string // name of the host in logs
	DataCentre string // data centre of the host
	Host       string // IPv4 address of the host
	Packets    string // address and UDP port that receives packets
	Ready      string // address and TCP port of the readiness check
	Metrics    string // address and TCP port of the metrics page; empty means none
	LogLevel   string // debug, info, warn or error; empty means info
	FlowLifeS  int    // maximum lifetime of a flow, seconds; 0 means 60
	// Disabled names mechanisms of package steer that are switched off, for experiments.
	Disabled []string `json:",omitempty"`
}

// PathBalancer is the settings file of a balancer of internal/path.
type PathBalancer struct {
	Path   Path
	Store  string // address and TCP port of the platform's store
	Agents string // address and UDP port that receives the agents' messages
	// EvacuateMs is how long servers of a data centre that was taken out of service
	// still receive packets of their flows; 0 means without limit.
	EvacuateMs int
	// DrainMs and ConfigMs are the times within which the balancer must act on a server
	// that drains or is gone, and on another configuration; 0 means as soon as possible.
	// RegainMs is the time after an outage of the store within which the balancer must act
	// on what changed; 0 means 4,000. They are left out if not set, for processes of earlier
	// versions, which do not know them.
	DrainMs    int `json:",omitempty"`
	ConfigMs   int `json:",omitempty"`
	RegainMs   int `json:",omitempty"`
	CacheFlows int // capacity of the cache of flow owners, in flows; 0 means the default
	// Balance is BalanceByRoom, or empty for an order of servers by the flow's hash alone.
	Balance string `json:",omitempty"`
}

// BalanceByRoom orders the servers that a new flow visits by their estimated spare
// capacity.
const BalanceByRoom = "ByRoom"

// HealthByTraffic is the value of PathAgent.Health with which the agent judges its server
// by the requests that it sees.
const HealthByTraffic = "ByTraffic"

// PathAgent is the settings file of an agent of internal/path.
type PathAgent struct {
	Path     Path
	Outbound string // address and UDP port that receives the server's packets
	Server   string // address and UDP port of the server
	Service  string // name of the server's service
	// Queue is AllWork if requests of open flows wait in one queue with SYNs while the
	// server is busy; empty means that only SYNs are queued.
	Queue string `json:",omitempty"`
	// QueueOrder names the order of that queue (package sched); empty means the first one.
	QueueOrder string `json:",omitempty"`
	// Health is HealthByTraffic if the agent denies new flows while its server fails too many
	// requests, and empty if it does not judge the server. It is left out if empty, for
	// processes of earlier versions, which do not know it.
	Health string `json:",omitempty"`
}

// QueueAllWork is the value of PathAgent.Queue for one queue of all work.
const QueueAllWork = "AllWork"

// Order returns the order of the queue for all work.
func (s PathAgent) Order() (sched.Order, error) {
	if s.QueueOrder == "" {
		return 0, nil
	}
	return sched.ParseOrder(s.QueueOrder)
}

// ReadPathBalancer reads and checks the settings file of a balancer of internal/path.
func ReadPathBalancer(path string) (PathBalancer, error) {
	return readAndCheck(path, func(c *checker, s *PathBalancer) {
		c.checkPath(s.Path)
		c.checkAddrPort("Store", s.Store)
		c.checkAddrPort("Agents", s.Agents)
		c.checkNotNegative("EvacuateMs", s.EvacuateMs)
		c.checkNotNegative("DrainMs", s.DrainMs)
		c.checkNotNegative("ConfigMs", s.ConfigMs)
		c.checkNotNegative("RegainMs", s.RegainMs)
		c.checkNotNegative("CacheFlows", s.CacheFlows)
		if s.Balance != "" && s.Balance != BalanceByRoom {
			c.addError("Balance", "%q is not known, want %s or none", s.Balance, BalanceByRoom)
		}
	})
}

// ReadPathAgent reads and checks the settings file of an agent of internal/path.
func ReadPathAgent(path string) (PathAgent, error) {
	return readAndCheck(path, func(c *checker, s *PathAgent) {
		c.checkPath(s.Path)
		c.checkAddrPort("Outbound", s.Outbound)
		c.checkAddrPort("Server", s.Server)
		if s.Service == "" {
			c.addError("Service", "must be set")
		}
		if s.Queue != "" && s.Queue != QueueAllWork {
			c.addError("Queue", "%q is not a queue, want %s or none", s.Queue, QueueAllWork)
		}
		if _, err := s.Order(); err != nil {
			c.addError("QueueOrder", "%v", err)
		}
		if s.Health != "" && s.Health != HealthByTraffic {
			c.addError("Health", "is %q, want %q or nothing", s.Health, HealthByTraffic)
		}
	})
}

func (c *checker) checkPath(p Path) {
	if p.Name == "" {
		c.addError("Path.Name", "must be set")
	}
	c.checkAddress("Path.Host", p.Host)
	c.checkAddrPort("Path.Packets", p.Packets)
	c.checkAddrPort("Path.Ready", p.Ready)
	if p.Metrics != "" {
		c.checkAddrPort("Path.Metrics", p.Metrics)
	}
	c.checkLogLevel("Path.LogLevel", p.LogLevel)
	c.checkNotNegative("Path.FlowLifeS", p.FlowLifeS)
	if _, err := steer.ParseMechanisms(p.Disabled); err != nil {
		c.addError("Path.Disabled", "%v", err)
	}
}
