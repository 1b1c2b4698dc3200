package conf_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/conf"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	// A fixed seed, so that every CI run checks the same cases.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const validConfig = `{
  "Owner": "network",
  "DataCentres": [{"Name": "north", "State": "In"}],
  "Services": [{"Name": "watch", "Address": "192.0.2.1", "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}],
  "BackendServers": [{"Name": "watch-1", "Host": "198.51.100.1", "DataCentre": "north", "Service": "watch", "Slots": 7, "Connections": 2000}]
}`

func files(texts ...string) []conf.File {
	var out []conf.File
	for i, text := range texts {
		out = append(out, conf.File{Name: fmt.Sprintf("%d.json", i), Content: []byte(text)})
	}
	return out
}

func TestValidConfigurationHasNoFindings(t *testing.T) {
	set, findings := conf.Build(files(validConfig))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, len(set.ServersOf("watch")), 1)
	assert.Equal(t, set.Servers[0].EffectiveWeight(), conf.DefaultWeight)
}

func TestErrorsAreReportedWithPosition(t *testing.T) {
	replace := func(old, new string) []conf.File { return files(strings.Replace(validConfig, old, new, 1)) }
	for _, row := range []struct {
		name  string
		files []conf.File
		want  string
	}{
		{"invalid JSON", replace(`"Owner": "network",`, `"Owner" "network",`), "0.json:2:11: invalid JSON"},
		{"truncated JSON", files(`{"Owner": "network"`), "0.json:1:20: unexpected end of JSON text"},
		{"text after the JSON value", files(validConfig + "x"), "0.json:6:2: unexpected text after the JSON value"},
		{"empty file", files(" \n"), "0.json:1:1: the file is empty"},
		{"not an object", files(`[]`), "0.json:1:1: a configuration file must be a JSON object"},
		{"no owner", replace(`"Owner": "network",`, ``), "0.json:1:1: Owner: every file must name its owner"},
		{"unknown list", replace(`"DataCentres"`, `"Datacenters"`), `0.json:3:3: Datacenters: unknown field "Datacenters"`},
		{"unknown field", replace(`"Slots": 7`, `"Slot": 7`), `0.json:5:109: BackendServers[0].Slot: unknown field "Slot"`},
		{"duplicate key", replace(`"Slots": 7`, `"Slots": 7, "Slots": 8`), `BackendServers[0].Slots: duplicate key "Slots"`},
		{"wrong type", replace(`"Slots": 7`, `"Slots": "7"`), "BackendServers[0].Slots: must be an integer without a unit"},
		{"number with a unit", replace(`"Carries": "Streams"}]`, `"Carries": "Streams"}], "DeadlineMs": "3s"`), "Services[0].DeadlineMs: must be an integer without a unit"},
		{"number with a fraction", replace(`"Slots": 7`, `"Slots": 7.5`), "BackendServers[0].Slots: must be an integer"},
		{"unknown enum value", replace(`"State": "In"`, `"State": "Gone"`), `DataCentres[0].State: must be one of ["In" "Out"]`},
		{"not a list", replace(`[{"Name": "north", "State": "In"}]`, `{}`), "DataCentres: must be a list"},
		{"no name", replace(`"Name": "north", `, ``), "DataCentres[0]: must have a Name"},
		{"port out of range", replace(`443`, `70000`), "70000 is out of range; it must be from 1 to 65535"},
		{"no slots", replace(`"Slots": 7`, `"Slots": 0`), "BackendServers[0].Slots: 0 is out of range"},
		{"weight out of range", replace(`"Slots": 7`, `"Slots": 7, "Weight": 1001`), "1001 is out of range"},
		{"objective out of range", replace(`"Carries": "Streams"}]`, `"Carries": "Streams"}], "ObjectivePercent": 100`), "100 is out of range"},
		{"invalid address", replace(`192.0.2.1`, `watch.example`), `Services[0].Address: "watch.example" is not an IP address`},
		{"invalid host", replace(`198.51.100.1`, `198.51.100`), `BackendServers[0].Host: "198.51.100" is not an IP address`},
		{"unknown data centre", replace(`"DataCentre": "north"`, `"DataCentre": "south"`), `data centre "south" is not declared`},
		{"unknown service", replace(`"Service": "watch"`, `"Service": "wacht"`), `service "wacht" is not declared`},
		{"service without a server", replace(`"Service": "watch"`, `"Service": "wacht"`), `service "watch" has no backend servers`},
		{"service without an endpoint", replace(`, "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]`, ``), `service "watch" has no endpoints`},
		{"declared twice in a file", replace(`{"Name": "north", "State": "In"}`, `{"Name": "north"}, {"Name": "north"}`), `"north" is declared twice in this file`},
		{"two services on one address and port", files(validConfig, `{"Owner": "network", "Services": [{"Name": "charts", "Address": "192.0.2.1",
			"Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}],
			"BackendServers": [{"Name": "charts-1", "Host": "198.51.100.2", "DataCentre": "north", "Service": "charts", "Slots": 1, "Connections": 1}]}`),
			"Tcp port 443 of 192.0.2.1 is already used by service"},
		{"two servers on one host", files(validConfig, `{"Owner": "network", "BackendServers": [{"Name": "watch-2", "Host": "198.51.100.1",
			"DataCentre": "north", "Service": "watch", "Slots": 1, "Connections": 1}]}`), "host 198.51.100.1 is already used by backend server"},
		{"balancer named like a server", files(validConfig, `{"Owner": "network", "Balancers": [{"Name": "watch-1", "Host": "198.51.100.9", "DataCentre": "north"}]}`),
			`the name "watch-1" is already used by a backend server`},
		{"empty folder", nil, ".:1:1: the configuration folder contains no files"},
		{"file over 1 MiB", files(validConfig + strings.Repeat(" ", conf.MaxFileBytes)), "at most 1048576 are allowed"},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, findings := conf.Build(row.files)
			assert.Assert(t, findings.Failed())
			assert.Assert(t, strings.Contains(findings.Error(), row.want), "findings:\n%s", findings.Error())
		})
	}
}

func TestAllErrorsAreReportedTogether(t *testing.T) {
	invalid := strings.NewReplacer(`443`, `0`, `"Slots": 7`, `"Slots": 0`, `192.0.2.1`, `x`).Replace(validConfig)
	_, findings := conf.Build(files(invalid, `{`, `{"Owner": 3}`))
	assert.Assert(t, len(findings) >= 5, "%s", findings.Error())
}

func TestOverrideByAnotherOwnerIsAWarning(t *testing.T) {
	override := func(owner string) conf.Findings {
		set, findings := conf.Build(files(validConfig, fmt.Sprintf(`{"Owner": %q, "DataCentres": [{"Name": "north", "State": "Out"}]}`, owner)))
		assert.Equal(t, set.CentreState("north"), conf.CentreOut)
		return findings
	}
	assert.Equal(t, len(override("network")), 0)
	findings := override("operator")
	assert.Assert(t, !findings.Failed())
	assert.Equal(t, findings[0].String(), "1.json:1:66: DataCentres[0].State: warning: overrides the value that network set in 0.json")
}

func TestRemovedObjectsAreNotInSet(t *testing.T) {
	set, findings := conf.Build(files(validConfig, `{"Owner": "network", "Services": [{"Name": "watch", "Removed": true}], "BackendServers": [{"Name": "watch-1", "Removed": true}]}`))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, len(set.Services)+len(set.Servers), 0)
}

// A set that reached its files through changes has the same hash as one built from
// them directly.
func TestHashDependsOnFilesOnly(t *testing.T) {
	all := files(validConfig, `{"Owner": "a"}`, `{"Owner": "b"}`)
	built, _ := conf.Build(all)
	changed, _ := conf.Build(all[:1])
	changed, _ = changed.With(files(validConfig, `{"Owner": "x"}`, `{"Owner": "b"}`), nil)
	assert.Assert(t, changed.Hash() != built.Hash())
	changed, _ = changed.With(all[1:2], nil)
	assert.Equal(t, changed.Hash(), built.Hash())
	fewer, _ := built.With(nil, []string{"1.json"})
	assert.Assert(t, fewer.Hash() != built.Hash())
}

// A set that is changed file by file equals one that is built from the same files
// at once: it fails alike and has the same hash, values and lists.
func TestIncrementalChangesEqualFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := make(map[string]conf.File)
		var set conf.Set
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"1.json", "2.json", "3.json", "4.json"}).Draw(t, "file")
			var findings conf.Findings
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				delete(current, name)
				set, findings = set.With(nil, []string{name})
			} else {
				current[name] = conf.File{Name: name, Content: []byte(randomFile(t))}
				set, findings = set.With([]conf.File{current[name]}, nil)
			}
			var all []conf.File
			for _, file := range current {
				all = append(all, file)
			}
			built, builtFindings := conf.Build(all)
			assert.Equal(t, findings.Failed(), builtFindings.Failed(), "changed:\n%s\nbuilt:\n%s", findings, builtFindings)
			assert.Equal(t, set.Hash(), built.Hash())
			assert.DeepEqual(t, set.Values(), built.Values())
			assert.DeepEqual(t, set.Services, built.Services, cmpopts.EquateEmpty())
			assert.DeepEqual(t, set.Servers, built.Servers, cmpopts.EquateEmpty())
			assert.DeepEqual(t, set.ServersOf("a"), built.ServersOf("a"))
		}
	})
}

// randomFile draws a small file whose objects may conflict with those of others.
func randomFile(t *rapid.T) string {
	pick := func(list ...string) string { return rapid.SampledFrom(list).Draw(t, "choice") }
	parts := []string{fmt.Sprintf(`"Owner": %q`, pick("x", "y"))}
	if rapid.Bool().Draw(t, "centres") {
		parts = append(parts, fmt.Sprintf(`"DataCentres": [{"Name": %q, "State": %q}]`, pick("c", "d"), pick("In", "Out")))
	}
	if rapid.Bool().Draw(t, "services") {
		parts = append(parts, fmt.Sprintf(`"Services": [{"Name": %q, "Removed": %s, "Address": "192.0.2.%s", "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}]`,
			pick("a", "b"), pick("true", "false", "false"), pick("1", "2")))
	}
	if rapid.Bool().Draw(t, "servers") {
		parts = append(parts, fmt.Sprintf(`"BackendServers": [{"Name": %q, "Removed": %s, "Host": "198.51.100.%s", "DataCentre": %q, "Service": %q, "Slots": %s, "Connections": 9}]`,
			pick("s1", "s2", "s3"), pick("true", "false", "false"), pick("1", "2", "3"), pick("c", "d"), pick("a", "b"), pick("0", "5", "5")))
	}
	if rapid.Bool().Draw(t, "balancers") {
		parts = append(parts, fmt.Sprintf(`"Balancers": [{"Name": %q, "Host": "198.51.100.9", "DataCentre": %q}]`, pick("s1", "b1"), pick("c", "d")))
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

func TestValuesHaveOrigins(t *testing.T) {
	set, _ := conf.Build(files(validConfig, `{"Owner": "operator", "DataCentres": [{"Name": "north", "State": "Out"}]}`))
	for _, v := range set.Values() {
		if v.Path == "DataCentres.north.State" {
			assert.Equal(t, v.Origin, conf.Origin{File: "1.json", Owner: "operator", Line: 1})
			return
		}
	}
	t.Fatal("the value is not listed")
}

func ExampleBuild() {
	_, findings := conf.Build([]conf.File{{Name: "10.json", Content: []byte(`{"Owner": "network", "Servces": []}`)}})
	fmt.Println(findings)
	// Output: 10.json:1:22: Servces: unknown field "Servces"
}

// largeConfig returns a configuration for benchmarks, with one file per service.
func largeConfig(services, servers int) []conf.File {
	out := []conf.File{{Name: "00.json", Content: []byte(`{"Owner": "network", "DataCentres": [{"Name": "c0"}, {"Name": "c1"}, {"Name": "c2"}]}`)}}
	next := 0
	for i := range services {
		var rows []string
		for next*services < servers*(i+1) {
			rows = append(rows, fmt.Sprintf(`{"Name": "s%d-%d", "Host": "10.%d.%d.%d", "DataCentre": "c%d", "Service": "s%d", "Slots": 7, "Connections": 2000, "Weight": 100, "State": "Serving"}`,
				i, next, next>>16, next>>8&255, next&255, next%3, i))
			next++
		}
		text := fmt.Sprintf(`{"Owner": "team-%d", "Services": [{"Name": "s%d", "Address": "172.16.%d.%d", "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}], "BackendServers": [%s]}`,
			i, i, i>>8, i&255, strings.Join(rows, ", "))
		out = append(out, conf.File{Name: fmt.Sprintf("s%05d.json", i), Content: []byte(text)})
	}
	return out
}

func BenchmarkAcceptWholeConfiguration(b *testing.B) {
	all := largeConfig(21_000, 41_000)
	for b.Loop() {
		if _, findings := conf.Build(all); findings.Failed() {
			b.Fatal(findings.Error())
		}
	}
}

func BenchmarkAcceptOneChangedFile(b *testing.B) {
	all := largeConfig(21_000, 41_000)
	set, _ := conf.Build(all)
	for b.Loop() {
		if _, findings := set.With(all[500:501], nil); findings.Failed() {
			b.Fatal(findings.Error())
		}
	}
}
