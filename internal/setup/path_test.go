package setup_test

import (
	"encoding/json"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/internal/setup"
	"gotest.tools/v3/assert"
)

const validPathAgent = `{
  "Path": {"Name": "a", "DataCentre": "dc", "Host": "127.0.0.1", "Packets": "127.0.0.1:1", "Ready": "127.0.0.1:2"},
  "Outbound": "127.0.0.1:3", "Server": "127.0.0.1:4", "Service": "desk"
}`

func TestPathSettingsAreChecked(t *testing.T) {
	for _, row := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"no name", `"Name": "a"`, `"Name": ""`, "Path.Name"},
		{"host name instead of an address", `"Host": "127.0.0.1"`, `"Host": "here"`, "Path.Host"},
		{"no port", `"Packets": "127.0.0.1:1"`, `"Packets": "127.0.0.1"`, "Path.Packets"},
		{"unknown log level", `"Name": "a"`, `"Name": "a", "LogLevel": "loud"`, "Path.LogLevel"},
		{"no service", `"desk"`, `""`, "Service"},
		{"queue of all work", `"desk"`, `"desk", "Queue": "AllWork", "QueueOrder": "WeightedTurns"`, ""},
		{"unknown queue", `"desk"`, `"desk", "Queue": "Everything"`, "Queue"},
		{"unknown order", `"desk"`, `"desk", "QueueOrder": "Best"`, "QueueOrder"},
		{"health by traffic", `"desk"`, `"desk", "Health": "ByTraffic"`, ""},
		{"unknown kind of health", `"desk"`, `"desk", "Health": "ByProbes"`, "Health"},
		{"unknown field", `"Service"`, `"Servise"`, "Servise"},
		{"invalid JSON", `{`, ``, "agent.json"},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := setup.ReadPathAgent(writeSettings(t, strings.Replace(validPathAgent, row.old, row.new, 1)))
			if row.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, row.want)
		})
	}
}

func TestPathErrorsAreReportedTogether(t *testing.T) {
	_, err := setup.ReadPathBalancer(writeSettings(t, `{"Path": {"Host": "x", "FlowLifeS": -1, "Disabled": ["Magic"]}, "EvacuateMs": -1, "DrainMs": -1, "ConfigMs": -1, "RegainMs": -1, "Balance": "Even"}`))
	for _, position := range []string{"Path.Name", "Path.Host", "Path.Packets", "Store", "Agents", "EvacuateMs", "DrainMs", "ConfigMs", "RegainMs", "Path.FlowLifeS", "Path.Disabled", "Balance"} {
		assert.ErrorContains(t, err, position)
	}
	_, err = setup.ReadPathBalancer("/nowhere")
	assert.ErrorContains(t, err, "read settings")
}

// The soak and other programs write settings from these types.
func TestWrittenSettingsAreValid(t *testing.T) {
	read, err := setup.ReadPathAgent(writeSettings(t, validPathAgent))
	assert.NilError(t, err)
	raw, err := json.Marshal(read)
	assert.NilError(t, err)
	again, err := setup.ReadPathAgent(writeSettings(t, string(raw)))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, read)
}

// Processes of earlier versions end if a settings file has fields that they do not know.
func TestUnsetFieldsOfLaterVersionsAreNotWritten(t *testing.T) {
	for _, unset := range []any{setup.PathBalancer{}, setup.PathAgent{}} {
		raw, err := json.Marshal(unset)
		assert.NilError(t, err)
		for _, field := range []string{"DrainMs", "ConfigMs", "RegainMs", "Disabled", "Queue", "Balance", "Health"} {
			assert.Assert(t, !strings.Contains(string(raw), field), "%s", raw)
		}
	}
}
