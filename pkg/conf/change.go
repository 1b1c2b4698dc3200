package conf

import (
	"fmt"
	"slices"
)

// listenAddress is the destination by which a packet is matched to a service.
type listenAddress struct {
	address  string
	protocol Protocol
	port     int
}

// lookupIndex holds the relations between objects that checks and lookups need.
// Where several objects conflict, for example servers on one host, it keeps all
// of them, so that the check can be repeated after the next change.
type lookupIndex struct {
	serversByService        map[string][]string        // sorted names of the servers of a service
	serversByHost           map[string][]string        // sorted names of the servers on a host
	servicesByListenAddress map[listenAddress][]string // sorted names of the services on an address
}

// insertName adds a name to the sorted list of a key. Lists are copied, as earlier
// sets share them.
func insertName[K comparable](m map[K][]string, key K, name string) {
	list := m[key]
	if at, found := slices.BinarySearch(list, name); !found {
		m[key] = slices.Insert(slices.Clone(list), at, name)
	}
}

// removeName removes a name from the sorted list of a key.
func removeName[K comparable](m map[K][]string, key K, name string) {
	list := m[key]
	at, found := slices.BinarySearch(list, name)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(m, key)
		return
	}
	m[key] = slices.Delete(slices.Clone(list), at, at+1)
}

// nameSet is a set of object names.
type nameSet map[string]bool

func (n nameSet) add(list ...string) {
	for _, name := range list {
		n[name] = true
	}
}

func (n nameSet) sorted() []string {
	out := make([]string, 0, len(n))
	for name := range n {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// change computes the set that follows another and checks the affected objects.
type change struct {
	previous    Set
	next        Set
	removedDocs []*document
	addedDocs   []*document
	findings    Findings
	// copied marks the kinds of objects whose tables and indexes are no longer shared
	// with the previous set.
	copied struct{ centres, services, servers, balancers bool }

	// Names of the objects whose declarations changed.
	changedCentres, changedServices, changedServers, changedBalancers nameSet
	// Names of the objects to check: the changed ones and those related to them.
	servicesToCheck, serversToCheck nameSet
	balancersToCheck                nameSet
}

func newChange(s Set) *change {
	c := &change{previous: s, next: s}
	c.next.documents = cloneMap(s.documents)
	for _, n := range []*nameSet{&c.changedCentres, &c.changedServices, &c.changedServers, &c.changedBalancers, &c.servicesToCheck, &c.serversToCheck, &c.balancersToCheck} {
		*n = make(nameSet)
	}
	return c
}

// replaceDocument replaces the document of the same name; nil removes it.
func (c *change) replaceDocument(name string, doc *document) {
	previous := c.next.documents[name]
	if previous != nil {
		c.removedDocs = append(c.removedDocs, previous)
	}
	delete(c.next.documents, name)
	if doc != nil {
		c.next.documents[name] = doc
		c.addedDocs = append(c.addedDocs, doc)
		c.findings = append(c.findings, doc.findings...)
	}
	c.copyBeforeWrite(previous)
	c.copyBeforeWrite(doc)
	t := c.next.tables
	c.changedCentres.add(t.centres.replaceContributions(previous, doc, func(d *document) []entry[DataCentre] { return d.centreEntries })...)
	c.changedServices.add(t.services.replaceContributions(previous, doc, func(d *document) []entry[Service] { return d.serviceEntries })...)
	c.changedServers.add(t.servers.replaceContributions(previous, doc, func(d *document) []entry[BackendServer] { return d.serverEntries })...)
	c.changedBalancers.add(t.balancers.replaceContributions(previous, doc, func(d *document) []entry[Balancer] { return d.balancerEntries })...)
}

// copyBeforeWrite copies the tables and indexes that the objects of a document
// change, unless this was done already.
func (c *change) copyBeforeWrite(doc *document) {
	if doc == nil {
		return
	}
	t, idx := &c.next.tables, &c.next.index
	if len(doc.centreEntries) > 0 && !c.copied.centres {
		c.copied.centres = true
		t.centres = table[DataCentre]{keyCentres, cloneMap(t.centres.objects)}
	}
	if len(doc.serviceEntries) > 0 && !c.copied.services {
		c.copied.services = true
		t.services = table[Service]{keyServices, cloneMap(t.services.objects)}
		idx.servicesByListenAddress = cloneMap(idx.servicesByListenAddress)
	}
	if len(doc.serverEntries) > 0 && !c.copied.servers {
		c.copied.servers = true
		t.servers = table[BackendServer]{keyServers, cloneMap(t.servers.objects)}
		idx.serversByService, idx.serversByHost = cloneMap(idx.serversByService), cloneMap(idx.serversByHost)
	}
	if len(doc.balancerEntries) > 0 && !c.copied.balancers {
		c.copied.balancers = true
		t.balancers = table[Balancer]{keyBalancers, cloneMap(t.balancers.objects)}
	}
}

// finish updates the lists and indexes and checks the affected objects.
func (c *change) finish() (Set, Findings) {
	s := &c.next
	s.digest = s.digest.with(c.removedDocs, c.addedDocs)
	s.DataCentres = updateList(s.DataCentres, s.tables.centres, c.changedCentres.sorted())
	s.Services = updateList(s.Services, s.tables.services, c.changedServices.sorted())
	s.Servers = updateList(s.Servers, s.tables.servers, c.changedServers.sorted())
	s.Balancers = updateList(s.Balancers, s.tables.balancers, c.changedBalancers.sorted())
	c.indexServices()
	c.indexServers()
	for name := range c.changedBalancers {
		c.balancersToCheck.add(name)
	}
	for name := range c.changedCentres {
		c.markDataCentreHosts(name)
	}
	c.check()
	s.delta = c.delta()
	s.failed = c.findings.Failed()
	return *s, c.findings.sorted()
}

// delta summarizes the change.
func (c *change) delta() Delta {
	d := Delta{Everything: c.previous.Empty() || len(c.changedCentres) > 0, Services: c.servicesToCheck.sorted()}
	for name := range c.changedServers {
		before, existed := c.previous.tables.servers.find(name)
		after, exists := c.next.tables.servers.find(name)
		d.HostsChanged = d.HostsChanged || existed != exists || before.Host != after.Host || before.DataCentre != after.DataCentre
	}
	for name := range c.changedBalancers {
		before, existed := c.previous.tables.balancers.find(name)
		after, exists := c.next.tables.balancers.find(name)
		d.HostsChanged = d.HostsChanged || existed != exists || before != after
	}
	return d
}

// indexServices updates the index for the changed services and marks them and their
// servers to be checked.
func (c *change) indexServices() {
	idx := c.next.index
	for name := range c.changedServices {
		if before, ok := c.previous.tables.services.find(name); ok {
			for _, e := range before.Endpoints {
				removeName(idx.servicesByListenAddress, listenAddress{before.Address, e.Protocol, e.Port}, name)
			}
		}
		if after, ok := c.next.tables.services.find(name); ok {
			for _, e := range after.Endpoints {
				insertName(idx.servicesByListenAddress, listenAddress{after.Address, e.Protocol, e.Port}, name)
			}
		}
		c.servicesToCheck.add(name)
		c.serversToCheck.add(idx.serversByService[name]...)
	}
}

// indexServers updates the index for the changed servers and marks them and their
// services to be checked. Balancers of the same name are checked too, as no balancer
// may have the name of a server.
func (c *change) indexServers() {
	idx := c.next.index
	for name := range c.changedServers {
		if before, ok := c.previous.tables.servers.find(name); ok {
			removeName(idx.serversByService, before.Service, name)
			removeName(idx.serversByHost, before.Host, name)
			c.servicesToCheck.add(before.Service)
		}
		if after, ok := c.next.tables.servers.find(name); ok {
			insertName(idx.serversByService, after.Service, name)
			insertName(idx.serversByHost, after.Host, name)
			c.servicesToCheck.add(after.Service)
		}
		c.serversToCheck.add(name)
		c.balancersToCheck.add(name)
	}
}

// markDataCentreHosts marks the servers and balancers of a data centre to be checked
// if the data centre was added or removed.
func (c *change) markDataCentreHosts(centre string) {
	_, existed := c.previous.tables.centres.find(centre)
	_, exists := c.next.tables.centres.find(centre)
	if existed == exists {
		return
	}
	for i := range c.next.Servers {
		if c.next.Servers[i].DataCentre == centre {
			c.serversToCheck.add(c.next.Servers[i].Name)
		}
	}
	for i := range c.next.Balancers {
		if c.next.Balancers[i].DataCentre == centre {
			c.balancersToCheck.add(c.next.Balancers[i].Name)
		}
	}
}

// addFinding adds a finding at a position of a file.
func (c *change) addFinding(at position, severity Severity, format string, args ...any) {
	c.findings = append(c.findings, at.doc.newFinding(severity, at.offset, at.path, fmt.Sprintf(format, args...)))
}
