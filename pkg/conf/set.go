package conf

import (
	"maps"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// File is one file of the configuration folder.
type File struct {
	Name    string
	Content []byte
}

// Origin is the file, its owner and the line where a value is set.
type Origin struct {
	File  string
	Owner string
	Line  int
}

// Set is a configuration: its files merged in the order of their names. It is
// immutable. A set returned by With shares unchanged data with the previous one.
type Set struct {
	Services    []Service
	DataCentres []DataCentre
	Servers     []BackendServer
	Balancers   []Balancer

	documents map[string]*document
	digest    digest
	tables    tables
	index     lookupIndex
	delta     Delta
	failed    bool
}

// Delta summarizes the change that produced a set.
type Delta struct {
	Everything   bool     // everything may differ: it is the first set, or data centres changed
	HostsChanged bool     // hosts were added, removed or moved
	Services     []string // sorted names of the services whose definition or servers changed
}

// Delta returns a summary of the change that produced the set.
func (s Set) Delta() Delta { return s.delta }

// Build merges and validates files. The set may be used only if the findings
// contain no error.
func Build(files []File) (Set, Findings) {
	return Set{}.With(files, nil)
}

// With returns the set after writing some files and removing others, with findings
// about the files and objects that the change affects. After a failed set,
// everything is built and checked again.
func (s Set) With(written []File, removed []string) (Set, Findings) {
	if s.failed {
		return Build(s.filesAfter(written, removed))
	}
	c := newChange(s)
	for _, name := range removed {
		c.replaceDocument(name, nil)
	}
	for _, file := range written {
		c.replaceDocument(file.Name, parseDocument(file))
	}
	return c.finish()
}

// filesAfter returns the files of the set after a change, in no particular order.
func (s Set) filesAfter(written []File, removed []string) []File {
	byName := make(map[string]File, len(s.documents)+len(written))
	for name, doc := range s.documents {
		byName[name] = File{name, doc.text}
	}
	for _, name := range removed {
		delete(byName, name)
	}
	for _, file := range written {
		byName[file.Name] = file
	}
	out := make([]File, 0, len(byName))
	for _, file := range byName {
		out = append(out, file)
	}
	return out
}

// Hash returns a hash of the set's files, as 16 hexadecimal digits.
func (s Set) Hash() string { return s.digest.hash }

// Empty reports whether the set has no files.
func (s Set) Empty() bool { return len(s.documents) == 0 }

// Files returns the files of the set in the order of their names.
func (s Set) Files() []File {
	files := s.filesAfter(nil, nil)
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	return files
}

// Owner returns the owner of a file, or "" if the set has no such file.
func (s Set) Owner(file string) string {
	if doc := s.documents[file]; doc != nil {
		return doc.owner
	}
	return ""
}

// Service finds a service by name.
func (s Set) Service(name string) (Service, bool) { return s.tables.services.find(name) }

// Server finds a backend server by name.
func (s Set) Server(name string) (BackendServer, bool) { return s.tables.servers.find(name) }

// Balancer finds a balancer by name.
func (s Set) Balancer(name string) (Balancer, bool) { return s.tables.balancers.find(name) }

// CentreState returns the state of a data centre: CentreOut if it is not declared.
func (s Set) CentreState(name string) CentreState {
	centre, ok := s.tables.centres.find(name)
	if !ok {
		return CentreOut
	}
	return centre.State
}

// Region returns the region of a data centre, or "" if it has none.
func (s Set) Region(centre string) string {
	c, _ := s.tables.centres.find(centre)
	return c.Region
}

// ServersOf returns the backend servers of a service, sorted by name. Servers in data
// centres that are out are left out.
func (s Set) ServersOf(service string) []BackendServer {
	names := s.index.serversByService[service]
	out := make([]BackendServer, 0, len(names))
	for _, name := range names {
		server, ok := s.Server(name)
		if ok && s.CentreState(server.DataCentre) == CentreIn {
			out = append(out, server)
		}
	}
	return out
}

// Value is one field of a merged object with the origin of its value.
type Value struct {
	Path   string // for example "Services.flightdesk.Address"
	Value  any
	Origin Origin
}

// Values lists all fields that files set, by kind of object and then by name.
func (s Set) Values() []Value {
	var out []Value
	out = append(out, s.tables.centres.values()...)
	out = append(out, s.tables.services.values()...)
	out = append(out, s.tables.servers.values()...)
	return append(out, s.tables.balancers.values()...)
}

// ReadFolder reads the files of a folder whose names end in .json.
func ReadFolder(dir string) ([]File, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrapf(err, "read configuration folder %q", dir)
	}
	var files []File
	for _, item := range list {
		if item.IsDir() || !strings.HasSuffix(item.Name(), ".json") {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, item.Name()))
		if err != nil {
			return nil, errors.Wrapf(err, "read configuration file %q", item.Name())
		}
		files = append(files, File{item.Name(), content})
	}
	return files, nil
}

// cloneMap returns a copy of a map, which is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
