package main

import (
	"fmt"
	"io"
	"net/netip"
	"strings"

	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/cockroachdb/errors"
)

// loadFolder reads, merges and validates a configuration folder. The set may be used
// only if the findings have no errors.
func loadFolder(dir string) (conf.Set, conf.Findings, error) {
	files, err := conf.ReadFolder(dir)
	if err != nil {
		return conf.Set{}, nil, err
	}
	set, findings := conf.Build(files)
	return set, findings, nil
}

// check prints the errors and warnings of a folder. Without errors, it also prints one
// line with the hash and the number of objects. It returns the exit code.
func check(w io.Writer, dir string) (int, error) {
	set, findings, err := loadFolder(dir)
	if err != nil {
		return 1, err
	}
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
	if findings.Failed() {
		return 1, nil
	}
	fmt.Fprintf(w, "revision %s: %d files, %d services, %d data centres, %d backend servers, %d balancers\n",
		set.Hash(), len(set.Files()), len(set.Services), len(set.DataCentres), len(set.Servers), len(set.Balancers))
	return 0, nil
}

// show prints every merged value with the file, line and owner that set it.
func show(w io.Writer, dir string) (int, error) {
	set, findings, err := loadFolder(dir)
	if err != nil {
		return 1, err
	}
	if findings.Failed() {
		return 1, findings
	}
	for _, v := range set.Values() {
		fmt.Fprintf(w, "%s = %v  (%s:%d, %s)\n", v.Path, v.Value, v.Origin.File, v.Origin.Line, v.Origin.Owner)
	}
	return 0, nil
}

// explainArgs are the arguments of explain.
type explainArgs struct {
	Dir  string `arg:"positional,required" help:"configuration folder"`
	Flow string `arg:"--flow,required" help:"tcp|udp,SOURCE:PORT,TARGET:PORT as in the caller's packets"`
}

// parseFlow parses PROTOCOL,SOURCE:PORT,TARGET:PORT, where the source is the caller and
// the target is the service.
func parseFlow(text string) (flow.Key, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return flow.Key{}, errors.Newf("flow %q must be PROTOCOL,SOURCE:PORT,TARGET:PORT", text)
	}
	protocol := packet.ProtocolTCP
	switch parts[0] {
	case "tcp":
	case "udp":
		protocol = packet.ProtocolUDP
	default:
		return flow.Key{}, errors.Newf("protocol %q must be tcp or udp", parts[0])
	}
	source, err := netip.ParseAddrPort(parts[1])
	if err != nil {
		return flow.Key{}, errors.Wrapf(err, "parse source of flow %q", text)
	}
	target, err := netip.ParseAddrPort(parts[2])
	if err != nil {
		return flow.Key{}, errors.Wrapf(err, "parse target of flow %q", text)
	}
	return flow.NewKey(source, target, protocol), nil
}

// explain prints the service of a flow, and the agents in the order in which they are
// asked to accept it. It returns the exit code.
func explain(w io.Writer, a explainArgs) (int, error) {
	key, err := parseFlow(a.Flow)
	if err != nil {
		return 2, err
	}
	set, findings, err := loadFolder(a.Dir)
	if err != nil {
		return 1, err
	}
	if findings.Failed() {
		return 1, findings
	}
	service, endpoint, ok := findService(set, key)
	if !ok {
		fmt.Fprintf(w, "%s: no service has this address, protocol and port; balancers drop the packet\n", key)
		return 1, nil
	}
	fmt.Fprintf(w, "%s: service %s, which carries %s on %s port %d\n", key, service.Name, endpoint.Carries, endpoint.Protocol, endpoint.Port)
	printCandidates(w, set, service, key)
	return 0, nil
}

// findService returns the service and endpoint with the target address, target port and
// protocol of a flow.
func findService(set conf.Set, key flow.Key) (conf.Service, conf.Endpoint, bool) {
	protocol := conf.Tcp
	if key.Protocol == packet.ProtocolUDP {
		protocol = conf.Udp
	}
	for _, service := range set.Services {
		for _, e := range service.Endpoints {
			if service.Address == key.Target().Addr().String() && e.Port == int(key.TargetPort) && e.Protocol == protocol {
				return service, e, true
			}
		}
	}
	return conf.Service{}, conf.Endpoint{}, false
}

// printCandidates prints the servers whose agents are asked for a flow, best first, and
// the servers that are left out because their data centre is out.
func printCandidates(w io.Writer, set conf.Set, service conf.Service, key flow.Key) {
	serversByID := make(map[place.ID]conf.BackendServer)
	var members []place.Member
	for _, server := range set.ServersOf(service.Name) {
		id := place.IDOf(server.Name)
		serversByID[id] = server
		members = append(members, place.Member{ID: id, Weight: server.EffectiveWeight()})
	}
	candidates := make([]place.ID, min(len(members), flow.DefaultMaxHops))
	count := place.New(members).Rank(key.Hash(), candidates)
	for i, id := range candidates[:count] {
		server := serversByID[id]
		why := "takes new flows"
		if server.State == conf.ServerLeaving {
			why = "leaving: keeps its flows, passes new ones on"
		}
		fmt.Fprintf(w, "%2d. %s on %s in %s: %s\n", i+1, server.Name, server.Host, server.DataCentre, why)
	}
	for _, server := range set.Servers {
		if server.Service == service.Name && set.CentreState(server.DataCentre) == conf.CentreOut {
			fmt.Fprintf(w, "  - %s in %s: not asked, its data centre is out\n", server.Name, server.DataCentre)
		}
	}
}
