package setup_test

import (
	"os"
	"path/filepath"
	"testing"

	"dogwoodlanding.example/dogwood/internal/setup"
	"gotest.tools/v3/assert"
)

func FuzzPathSettings(f *testing.F) {
	f.Add([]byte(`{"Path": {"Name": "h", "Host": "10.0.0.1"}, "Store": "10.0.0.2:1", "EvacuateMs": 5000}`))
	f.Add([]byte(`{"Path": null}`))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		file := filepath.Join(t.TempDir(), "settings.json")
		assert.NilError(t, os.WriteFile(file, text, 0o600))
		_, _ = setup.ReadPathBalancer(file)
		_, _ = setup.ReadPathAgent(file)
	})
}
