package conf

import (
	"net/netip"
	"reflect"
)

// check validates the objects that the change affects.
func (c *change) check() {
	if len(c.next.documents) == 0 {
		c.findings = append(c.findings, Finding{Error, ".", 1, 1, "", "the configuration folder contains no files"})
		return
	}
	warnOverrides(c, c.next.tables.centres, c.changedCentres)
	warnOverrides(c, c.next.tables.services, c.changedServices)
	warnOverrides(c, c.next.tables.servers, c.changedServers)
	warnOverrides(c, c.next.tables.balancers, c.changedBalancers)
	for name := range c.servicesToCheck {
		if service, ok := c.next.Service(name); ok {
			c.checkService(service)
		}
	}
	for name := range c.serversToCheck {
		if server, ok := c.next.Server(name); ok {
			c.checkServer(server)
		}
	}
	for name := range c.balancersToCheck {
		if balancer, ok := c.next.Balancer(name); ok {
			c.checkBalancer(balancer)
		}
	}
}

// warnOverrides warns about values that a later file of another owner overrides.
func warnOverrides[T namedObject](c *change, t table[T], changed nameSet) {
	for name := range changed {
		contributions := t.objects[name].contributions
		for i := 1; i < len(contributions); i++ {
			for _, f := range contributions[i].entry.fields {
				warnFieldOverride(c, t, contributions[:i], contributions[i], f)
			}
		}
	}
}

// warnFieldOverride warns if the last earlier file that sets a field has another owner.
func warnFieldOverride[T namedObject](c *change, t table[T], earlier []contribution[T], later contribution[T], f fieldPosition) {
	key := reflect.TypeFor[T]().Field(int(f.fieldIndex)).Name
	if key == "Name" {
		return
	}
	for i := len(earlier) - 1; i >= 0; i-- {
		for _, previous := range earlier[i].entry.fields {
			if previous.fieldIndex != f.fieldIndex {
				continue
			}
			if other := earlier[i].doc; other.owner != later.doc.owner {
				path := entryPath(t.listKey, int(later.entry.listIndex)) + "." + key
				c.addFinding(position{later.doc, int(f.offset), path}, Warning, "overrides the value that %s set in %s", other.owner, other.name)
			}
			return
		}
	}
}

// checkRange reports a number outside its range.
func (c *change) checkRange(at position, value, low, high int) {
	if value < low || value > high {
		c.addFinding(at, Error, "%d is out of range; it must be from %d to %d", value, low, high)
	}
}

// checkAddress reports text that is not an IP address.
func (c *change) checkAddress(at position, text string) {
	if _, err := netip.ParseAddr(text); err != nil {
		c.addFinding(at, Error, "%q is not an IP address", text)
	}
}

// checkService checks a service. Its conditions repeat those of checkRange and
// checkAddress, so that positions are looked up only for invalid values.
func (c *change) checkService(s Service) {
	at := func(key string) position { return c.next.tables.services.positionOf(s.Name, key) }
	if _, err := netip.ParseAddr(s.Address); err != nil {
		c.checkAddress(at("Address"), s.Address)
	}
	if len(s.Endpoints) == 0 {
		c.addFinding(at("Endpoints"), Error, "service %q has no endpoints", s.Name)
	}
	for _, e := range s.Endpoints {
		if e.Port < 1 || e.Port > 65535 {
			c.checkRange(at("Endpoints"), e.Port, 1, 65535)
		}
		for _, other := range c.next.index.servicesByListenAddress[listenAddress{s.Address, e.Protocol, e.Port}] {
			if other != s.Name {
				c.addFinding(at("Endpoints"), Error, "%s port %d of %s is already used by service %q", e.Protocol, e.Port, s.Address, other)
			}
		}
	}
	if s.DeadlineMs < 0 || s.DeadlineMs > maxDeadlineMs {
		c.checkRange(at("DeadlineMs"), s.DeadlineMs, 0, maxDeadlineMs)
	}
	if p := s.ObjectivePercent; p < 0 || p >= 100 {
		c.addFinding(at("ObjectivePercent"), Error, "%v is out of range; it must be from 0 to below 100", p)
	}
	if p := s.RetryPercent; p < 0 || p > 100 {
		c.addFinding(at("RetryPercent"), Error, "%v is out of range; it must be from 0 to 100", p)
	}
	if len(c.next.index.serversByService[s.Name]) == 0 {
		c.addFinding(at(""), Error, "service %q has no backend servers", s.Name)
	}
}

// checkServer checks a backend server, in the same way as checkService.
func (c *change) checkServer(s BackendServer) {
	at := func(key string) position { return c.next.tables.servers.positionOf(s.Name, key) }
	if _, err := netip.ParseAddr(s.Host); err != nil {
		c.checkAddress(at("Host"), s.Host)
	}
	for _, other := range c.next.index.serversByHost[s.Host] {
		if other != s.Name {
			c.addFinding(at("Host"), Error, "host %s is already used by backend server %q", s.Host, other)
		}
	}
	if _, ok := c.next.tables.centres.find(s.DataCentre); !ok {
		c.addFinding(at("DataCentre"), Error, "data centre %q is not declared", s.DataCentre)
	}
	if _, ok := c.next.Service(s.Service); !ok {
		c.addFinding(at("Service"), Error, "service %q is not declared", s.Service)
	}
	if s.Slots < 1 || s.Slots > MaxSlots {
		c.checkRange(at("Slots"), s.Slots, 1, MaxSlots)
	}
	if s.Connections < 1 || s.Connections > MaxConnections {
		c.checkRange(at("Connections"), s.Connections, 1, MaxConnections)
	}
	if s.Weight < 0 || s.Weight > MaxWeight {
		c.checkRange(at("Weight"), s.Weight, 0, MaxWeight)
	}
}

func (c *change) checkBalancer(b Balancer) {
	at := func(key string) position { return c.next.tables.balancers.positionOf(b.Name, key) }
	c.checkAddress(at("Host"), b.Host)
	if _, ok := c.next.tables.centres.find(b.DataCentre); !ok {
		c.addFinding(at("DataCentre"), Error, "data centre %q is not declared", b.DataCentre)
	}
	if _, taken := c.next.Server(b.Name); taken {
		c.addFinding(at(""), Error, "the name %q is already used by a backend server", b.Name)
	}
}
