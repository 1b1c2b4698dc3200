package packet_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"gotest.tools/v3/assert"
)

func TestReadDecodesBuiltPackets(t *testing.T) {
	for _, row := range []struct{ name, source, target string }{
		{"IPv4", "198.51.100.7:4000", "192.0.2.1:443"},
		{"IPv6", "[2001:db8::7]:4000", "[2001:db8::1]:443"},
	} {
		t.Run(row.name, func(t *testing.T) {
			var r packet.Reader
			key := flow.NewKey(netip.MustParseAddrPort(row.source), netip.MustParseAddrPort(row.target), packet.ProtocolTCP)
			raw, err := packet.Segment(key, packet.Flags{Syn: true}, 7, 0, nil)
			assert.NilError(t, err)
			info, err := r.Read(raw)
			assert.NilError(t, err)
			assert.Equal(t, info.Key, key)
			assert.Assert(t, info.OpensConnection && !info.EndsConnection && info.Seq == 7)

			reset, err := packet.Reset(info)
			assert.NilError(t, err)
			back, err := r.Read(reset)
			assert.NilError(t, err)
			assert.Assert(t, back.EndsConnection && back.Key == packet.Reverse(key) && back.Ack == 8)

			key.Protocol = packet.ProtocolUDP
			raw, err = packet.Datagram(key, []byte("hello"))
			assert.NilError(t, err)
			info, err = r.Read(raw)
			assert.NilError(t, err)
			assert.Equal(t, string(info.Payload), "hello")
		})
	}
}

func TestReadRejectsMalformedPackets(t *testing.T) {
	var r packet.Reader
	for _, raw := range [][]byte{nil, {0x10}, {0x45, 0, 0}, make([]byte, 40)} {
		_, err := r.Read(raw)
		assert.Assert(t, err != nil)
	}
}

func ExampleReverse() {
	key := flow.NewKey(netip.MustParseAddrPort("198.51.100.7:4000"), netip.MustParseAddrPort("192.0.2.1:443"), packet.ProtocolTCP)
	fmt.Println(packet.Reverse(key))
	// Output: 6:192.0.2.1:443->198.51.100.7:4000
}

func FuzzRead(f *testing.F) {
	f.Add([]byte{0x45})
	f.Add([]byte{0x60, 0, 0, 0, 0, 8, 17, 64})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r packet.Reader
		info, err := r.Read(raw)
		if err != nil {
			return
		}
		if reset, err := packet.Reset(info); err == nil {
			_, err = r.Read(reset)
			assert.NilError(t, err)
		}
	})
}
