// Package setup reads and checks the settings files of processes: Balancer and Agent for
// the processes around pkg/node, and PathBalancer and PathAgent for those around
// pkg/steer, in internal/path. All errors in a file are reported together, each with its
// position.
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

// Timing holds optional durations in milliseconds. Zero means the default.
type Timing struct {
	HeartbeatMs   int // between heartbeats
	LeaseMs       int // lease duration from the sending of an acknowledged heartbeat
	SilenceMs     int // without heartbeats before a watcher votes a process silent; must exceed LeaseMs
	HoldMs        int // for a configuration change to reach all processes; minimum lease age to admit flows
	IntervalMs    int // between digests of the configuration
	EpochMs       int // between new choices of the processes that poll the platform
	StartupWaitMs int // limit of the wait for neighbours' digests at the start
	ValidityMs    int // of a request identifier
	SkewMs        int // tolerated difference between clocks
	ClaimMs       int // timeout of a claim on a request
}

// Node converts the durations to those of package node.
func (t Timing) Node() node.Timing {
	return node.Timing{
		HeartbeatInterval: clock.Millis(t.HeartbeatMs),
		LeaseDuration:     clock.Millis(t.LeaseMs),
		SilenceTimeout:    clock.Millis(t.SilenceMs),
		MaxPropagation:    clock.Millis(t.HoldMs),
		DigestInterval:    clock.Millis(t.IntervalMs),
		ReaderEpoch:       clock.Millis(t.EpochMs),
		StartupWait:       clock.Millis(t.StartupWaitMs),
		RequestIDValidity: clock.Millis(t.ValidityMs),
		MaxClockSkew:      clock.Millis(t.SkewMs),
		ClaimTimeout:      clock.Millis(t.ClaimMs),
	}
}

// Process holds the settings that balancers and agents have in common.
type Process struct {
	Name       string   // as declared in the configuration
	DataCentre string   // data centre of the host
	Host       string   // IP address of the host
	Platform   string   // URL of the platform that holds the configuration
	Seeds      []string // IP addresses of hosts to ask for the configuration at the start
	LogLevel   string   // debug, info, warn or error; empty means info
	DrainMs    int      // time allowed for running requests at a shutdown; 0 means 30 s
	Timing     Timing
}

// Balancer is the settings file of a balancer.
type Balancer struct {
	Process    Process
	CacheFlows int // capacity of the cache of flow owners, in flows; 0 means the default
}

// Server holds the addresses at which an agent reaches its backend server.
type Server struct {
	Packets string // address and UDP port that receives encapsulated IP packets
	URL     string // base URL of the server's HTTP interface
}

// Agent is the settings file of an agent.
type Agent struct {
	Process  Process
	Server   Server
	Requests string // address and TCP port to serve HTTP requests on; empty means none
}

// ReadBalancer reads and checks the settings file of a balancer.
func ReadBalancer(path string) (Balancer, error) {
	return readAndCheck(path, func(c *checker, s *Balancer) {
		c.checkProcess(s.Process)
		c.checkNotNegative("CacheFlows", s.CacheFlows)
	})
}

// ReadAgent reads and checks the settings file of an agent.
func ReadAgent(path string) (Agent, error) {
	return readAndCheck(path, func(c *checker, s *Agent) {
		c.checkProcess(s.Process)
		c.checkAddrPort("Server.Packets", s.Server.Packets)
		c.checkURL("Server.URL", s.Server.URL)
		if s.Requests != "" {
			c.checkAddrPort("Requests", s.Requests)
		}
	})
}

// readAndCheck reads a settings file into a T and applies check to it. The error lists
// everything that decoding and check found.
func readAndCheck[T any](path string, check func(*checker, *T)) (T, error) {
	var s T
	c := checker{path: path}
	c.decode(&s)
	check(&c, &s)
	return s, c.err()
}

// checker decodes a settings file and collects the errors in it.
type checker struct {
	path    string // of the settings file
	decoded *conf.Decoded
	readErr error
}

func (c *checker) decode(into any) {
	content, err := os.ReadFile(c.path)
	if err != nil {
		c.readErr = errors.Wrapf(err, "read settings %q", c.path)
		return
	}
	c.decoded = conf.Decode(conf.File{Name: c.path, Content: content}, into)
}

// addError adds an error for a field, unless the file could not be read.
func (c *checker) addError(field, format string, args ...any) {
	if c.decoded != nil {
		c.decoded.AddError(field, fmt.Sprintf(format, args...))
	}
}

// err returns the error of reading the file, or else all findings if they contain an
// error.
func (c *checker) err() error {
	if c.readErr != nil {
		return c.readErr
	}
	if c.decoded.Findings.Failed() {
		return c.decoded.Findings
	}
	return nil
}

func (c *checker) checkProcess(p Process) {
	if p.Name == "" {
		c.addError("Process.Name", "must be set")
	}
	if p.DataCentre == "" {
		c.addError("Process.DataCentre", "must be set")
	}
	c.checkAddress("Process.Host", p.Host)
	c.checkURL("Process.Platform", p.Platform)
	for i, seed := range p.Seeds {
		c.checkAddress(fmt.Sprintf("Process.Seeds[%d]", i), seed)
	}
	c.checkLogLevel("Process.LogLevel", p.LogLevel)
	c.checkNotNegative("Process.DrainMs", p.DrainMs)
	c.checkTiming(p.Timing)
}

func (c *checker) checkTiming(t Timing) {
	for _, row := range []struct {
		field string
		value int
	}{
		{"HeartbeatMs", t.HeartbeatMs}, {"LeaseMs", t.LeaseMs}, {"SilenceMs", t.SilenceMs},
		{"HoldMs", t.HoldMs}, {"IntervalMs", t.IntervalMs}, {"EpochMs", t.EpochMs},
		{"StartupWaitMs", t.StartupWaitMs}, {"ValidityMs", t.ValidityMs}, {"SkewMs", t.SkewMs},
		{"ClaimMs", t.ClaimMs},
	} {
		c.checkNotNegative("Process.Timing."+row.field, row.value)
	}
	if t.LeaseMs != 0 && t.SilenceMs != 0 && t.SilenceMs <= t.LeaseMs {
		c.addError("Process.Timing.SilenceMs", "%d must exceed LeaseMs, which is %d", t.SilenceMs, t.LeaseMs)
	}
}

func (c *checker) checkLogLevel(field, text string) {
	if _, err := log.ParseLevel(text); text != "" && err != nil {
		c.addError(field, "%q is not a log level", text)
	}
}

func (c *checker) checkNotNegative(field string, value int) {
	if value < 0 {
		c.addError(field, "%d must not be negative", value)
	}
}

func (c *checker) checkAddress(field, text string) {
	if _, err := netip.ParseAddr(text); err != nil {
		c.addError(field, "%q is not an IP address", text)
	}
}

func (c *checker) checkAddrPort(field, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.addError(field, "%q is not an IP address with a port", text)
	}
}

func (c *checker) checkURL(field, text string) {
	if u, err := url.Parse(text); err != nil || u.Scheme != "http" || u.Host == "" {
		c.addError(field, "%q is not an http URL", text)
	}
}
