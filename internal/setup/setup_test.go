package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/internal/setup"
	"gotest.tools/v3/assert"
)

const validAgent = `{
  "Process": {"Name": "desk-1", "DataCentre": "north", "Host": "192.0.2.1", "Platform": "http://192.0.2.9:80", "Seeds": ["192.0.2.2"]},
  "Server": {"Packets": "192.0.2.1:6090", "URL": "http://192.0.2.1:8080"}
}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestValidSettings(t *testing.T) {
	s, err := setup.ReadAgent(writeSettings(t, validAgent))
	assert.NilError(t, err)
	assert.Equal(t, s.Process.Name, "desk-1")
}

func TestErrorsHavePositions(t *testing.T) {
	for _, row := range []struct{ name, old, new, want string }{
		{"unknown field", `"Seeds"`, `"Seed"`, `agent.json:2:112: Process.Seed: unknown field "Seed"`},
		{"invalid host", `"Host": "192.0.2.1"`, `"Host": "x"`, `agent.json:2:64: Process.Host: "x" is not an IP address`},
		{"invalid URL", `"URL": "http://192.0.2.1:8080"`, `"URL": "x"`, `agent.json:3:50: Server.URL: "x" is not an http URL`},
		{"missing field", `"DataCentre": "north", `, ``, "agent.json:2:14: Process.DataCentre: must be set"},
		{"invalid JSON", `{"Name"`, `{Name`, "agent.json:2:15: invalid JSON"},
		{"silence not longer than the lease", `"Seeds"`, `"Timing": {"LeaseMs": 5, "SilenceMs": 5}, "Seeds"`, "SilenceMs: 5 must exceed LeaseMs"},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := setup.ReadAgent(writeSettings(t, strings.Replace(validAgent, row.old, row.new, 1)))
			assert.ErrorContains(t, err, row.want)
		})
	}
}

func TestMissingFile(t *testing.T) {
	_, err := setup.ReadBalancer(filepath.Join(t.TempDir(), "none.json"))
	assert.ErrorContains(t, err, "read settings")
}
