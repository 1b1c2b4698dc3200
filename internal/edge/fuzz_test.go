package edge_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/edge"
	"dogwoodlanding.example/dogwood/pkg/flow"
)

func FuzzDecodeRequestAndAnswer(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":"0b0e3c0e-8f0c-4a52-9b4e-6a6f6f5e7a11","method":"m","params":{"TimeoutMs":5}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"error":{"code":-32001,"message":"x","data":{"Copy":1}}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"error":null,"result":null}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		if request, err := edge.DecodeRequest(1000, 500, flow.Key{}, payload); err == nil && request.Expires > 1500 {
			t.Fatalf("the request expires at %d, later than the service allows", request.Expires)
		}
		_, _, _, _ = edge.DecodeAnswer(payload)
	})
}
