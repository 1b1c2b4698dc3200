package conf_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/conf"
)

func FuzzBuild(f *testing.F) {
	f.Add([]byte(`{"DataCentres": [{"Name": "a"}], "BackendServers": [{"Name": "s", "Service": "d"}]}`), []byte(`[`))
	f.Add([]byte(`{"Services": [{"Name": null}]}`), []byte(`{"Services": {}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		files := []conf.File{{Name: "a.json", Content: first}, {Name: "b.json", Content: second}}
		set, _ := conf.Build(files)
		next, _ := set.With([]conf.File{{Name: "a.json", Content: second}}, []string{"b.json"})
		_, _ = next.With(files, nil)
	})
}
