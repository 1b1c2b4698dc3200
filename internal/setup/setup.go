// Package setup reads and checks the settings file of a process. All faults are
// reported together, each with its place.
package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/node"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Timing holds the intervals that may be set, in milliseconds. Zero takes the
// default.
type Timing struct {
	HeartbeatMs   int
	LeaseMs       int
	SilenceMs     int
	HoldMs        int
	IntervalMs    int
	EpochMs       int
	StartupWaitMs int
	ValidityMs    int
	SkewMs        int
	ClaimMs       int
}

// Node converts the intervals for the decision core.
func (t Timing) Node() node.Timing {
	return node.Timing{
		Heartbeat:   clock.Millis(t.HeartbeatMs),
		Lease:       clock.Millis(t.LeaseMs),
		Silence:     clock.Millis(t.SilenceMs),
		Hold:        clock.Millis(t.HoldMs),
		Interval:    clock.Millis(t.IntervalMs),
		Epoch:       clock.Millis(t.EpochMs),
		StartupWait: clock.Millis(t.StartupWaitMs),
		Validity:    clock.Millis(t.ValidityMs),
		Skew:        clock.Millis(t.SkewMs),
		Claim:       clock.Millis(t.ClaimMs),
	}
}

// Process is what every process must be told.
type Process struct {
	Name       string   // as declared in the configuration
	DataCentre string   // where the host stands
	Host       string   // IP number of the host
	Platform   string   // URL of the users' configuration service
	Seeds      []string // IP numbers of hosts to ask before a configuration is known
	LogLevel   string   // debug, info, warn or error; empty means info
	DrainMs    int      // longest wait for running requests at a stop; 0 means 30 s
	Timing     Timing
}

// Balancer is the settings file of a balancer.
type Balancer struct {
	Process    Process
	CacheFlows int // flows whose owners are remembered; 0 takes the default
}

// Server says how an agent reaches its backend server.
type Server struct {
	Packets string // address and UDP port that takes IP packets in datagrams
	URL     string // base of the server's HTTP pages
}

// Agent is the settings file of an agent.
type Agent struct {
	Process  Process
	Server   Server
	Requests string // address and TCP port for requests by HTTP; empty means none
}

// ReadBalancer reads a balancer's settings.
func ReadBalancer(path string) (Balancer, error) {
	return readChecked(path, func(c *checker, s *Balancer) {
		c.process(s.Process)
		c.count("CacheFlows", s.CacheFlows)
	})
}

// ReadAgent reads an agent's settings.
func ReadAgent(path string) (Agent, error) {
	return readChecked(path, func(c *checker, s *Agent) {
		c.process(s.Process)
		c.port("Server.Packets", s.Server.Packets)
		c.url("Server.URL", s.Server.URL)
		if s.Requests != "" {
			c.port("Requests", s.Requests)
		}
	})
}

// readChecked reads a settings file and returns all that check finds together.
func readChecked[T any](path string, check func(*checker, *T)) (T, error) {
	var s T
	c := checker{path: path}
	c.read(&s)
	check(&c, &s)
	return s, c.err()
}

// checker collects the findings of one settings file.
type checker struct {
	path  string
	file  *conf.Decoded
	fatal error
}

func (c *checker) read(into any) {
	content, err := os.ReadFile(c.path)
	if err != nil {
		c.fatal = errors.Wrapf(err, "read settings %q", c.path)
		return
	}
	c.file = conf.Decode(conf.File{Name: c.path, Content: content}, into)
}

func (c *checker) fault(field, format string, args ...any) {
	if c.file != nil {
		c.file.AddError(field, fmt.Sprintf(format, args...))
	}
}

func (c *checker) err() error {
	if c.fatal != nil {
		return c.fatal
	}
	if c.file.Findings.Failed() {
		return c.file.Findings
	}
	return nil
}

func (c *checker) process(p Process) {
	if p.Name == "" {
		c.fault("Process.Name", "must be set")
	}
	if p.DataCentre == "" {
		c.fault("Process.DataCentre", "must be set")
	}
	c.address("Process.Host", p.Host)
	c.url("Process.Platform", p.Platform)
	for i, seed := range p.Seeds {
		c.address(fmt.Sprintf("Process.Seeds[%d]", i), seed)
	}
	c.level("Process.LogLevel", p.LogLevel)
	c.count("Process.DrainMs", p.DrainMs)
	c.timing(p.Timing)
}

func (c *checker) timing(t Timing) {
	for _, row := range []struct {
		field string
		value int
	}{
		{"HeartbeatMs", t.HeartbeatMs}, {"LeaseMs", t.LeaseMs}, {"SilenceMs", t.SilenceMs},
		{"HoldMs", t.HoldMs}, {"IntervalMs", t.IntervalMs}, {"EpochMs", t.EpochMs},
		{"StartupWaitMs", t.StartupWaitMs}, {"ValidityMs", t.ValidityMs}, {"SkewMs", t.SkewMs},
		{"ClaimMs", t.ClaimMs},
	} {
		c.count("Process.Timing."+row.field, row.value)
	}
	if t.LeaseMs != 0 && t.SilenceMs != 0 && t.SilenceMs <= t.LeaseMs {
		c.fault("Process.Timing.SilenceMs", "%d must exceed LeaseMs, which is %d", t.SilenceMs, t.LeaseMs)
	}
}

func (c *checker) level(field, text string) {
	if _, err := log.ParseLevel(text); text != "" && err != nil {
		c.fault(field, "%q is not a log level", text)
	}
}

func (c *checker) count(field string, value int) {
	if value < 0 {
		c.fault(field, "%d must not be negative", value)
	}
}

func (c *checker) address(field, text string) {
	if _, err := netip.ParseAddr(text); err != nil {
		c.fault(field, "%q is not an IP number", text)
	}
}

func (c *checker) port(field, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.fault(field, "%q is not an IP number with a port", text)
	}
}

func (c *checker) url(field, text string) {
	if u, err := url.Parse(text); err != nil || u.Scheme != "http" || u.Host == "" {
		c.fault(field, "%q is not an http URL", text)
	}
}
