package check_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/internal/check"
	"gotest.tools/v3/assert"
)

const (
	inForce = `{"version":4,"routes":[{"name":"old","host":"198.18.0.9","prefix":"/80/","backend":"desk"}]}`
	good    = `{"version":5,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/80/","backend":"desk","slo_ms":200,"timeout_ms":1500}]}`
	invalid = `{"version":5,
	"routes":[{"name":"r","host":"nowhere","prefix":"/80/","backend":"desk"}]}`
	servers  = `[{"backend":"desk","addr":"10.128.0.9:8080","zone":"dc1","version":"v1","slots":7,"state":"ready","warmup_left_ms":0,"seq":4}]`
	settings = `{"Path":{"Name":"b","DataCentre":"dc1","Host":"127.0.0.1","Packets":"127.0.0.1:1","Ready":"127.0.0.1:2"},
		"Store":"127.0.0.1:3","Agents":"127.0.0.1:4","EvacuateMs":5000,"DrainMs":3000,"ConfigMs":5000}`
)

// Scripts depend on the exit codes, and operators on the place of each finding.
func TestRunReportsFindingsAndExitCode(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"in-force": inForce, "good": good, "invalid": invalid, "servers": servers, "noservers": "[]", "settings": settings, "text": "{",
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	for _, row := range []struct {
		name string
		args check.Args
		code int
		want []string // each line without its directory
	}{
		{"nothing to report", check.Args{File: "good", Servers: "servers"}, check.Passed, nil},
		{"warnings and changes", check.Args{File: "good", Against: "in-force", Servers: "noservers", Settings: "settings"}, check.Passed, []string{
			`good:1: routes[0].backend: warning: service "desk" has no servers`,
			`good: warning: DrainMs in the settings is 3000ms, but a balancer may need 3700ms to act on a change in the store`,
			`good: change: route "old" at 198.18.0.9:80 is removed: its open flows are reset at their next packet`,
			`good:1: routes[0]: change: route "r" at 198.18.0.1:80 is added`,
		}},
		{"a skipped route", check.Args{File: "invalid"}, check.Failed, []string{`invalid:2: routes[0].host: error: route "r": host "nowhere" is not an IPv4 address`}},
		{"an older version", check.Args{File: "in-force", Against: "good"}, check.Failed, []string{
			`in-force:1: version: error: version 4 is not higher than version 5 in force: balancers ignore this configuration`,
			`in-force: change: route "r" at 198.18.0.1:80 is removed: its open flows are reset at their next packet`,
			`in-force:1: routes[0]: change: route "old" at 198.18.0.9:80 is added`,
		}},
		{"text that is not JSON", check.Args{File: "text"}, check.Failed, []string{"text:1: error: decode configuration: unexpected end of JSON input"}},
		{"no such file", check.Args{File: "missing"}, check.Misuse, nil},
		{"unusable version in force", check.Args{File: "good", Against: "text"}, check.Misuse, nil},
		{"unusable list of servers", check.Args{File: "good", Servers: "text"}, check.Misuse, nil},
		{"unusable settings", check.Args{File: "good", Settings: "good"}, check.Misuse, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			for _, file := range []*string{&row.args.File, &row.args.Against, &row.args.Servers, &row.args.Settings} {
				if *file != "" {
					*file = filepath.Join(dir, *file)
				}
			}
			var out strings.Builder
			code, err := check.Run(&out, row.args)
			assert.Equal(t, err != nil, row.code == check.Misuse, "%v", err)
			assert.Equal(t, code, row.code)
			var want strings.Builder
			for _, line := range row.want {
				want.WriteString(filepath.Join(dir, line) + "\n")
			}
			assert.Equal(t, out.String(), want.String())

			if row.code == check.Misuse {
				return
			}
			out.Reset()
			row.args.JSON = true
			code, err = check.Run(&out, row.args)
			assert.NilError(t, err)
			assert.Equal(t, code, row.code)
			var findings []struct{ Severity, Kind, File, Reason string }
			assert.NilError(t, json.Unmarshal([]byte(out.String()), &findings))
			assert.Equal(t, len(findings), len(row.want))
		})
	}
}
