package path_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/internal/path"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// One datagram that the code cannot bear, or one error of the socket, must not end the
// process, nor leave it deaf while it reports that it is ready.
func TestReceiverSurvivesPanicAndSocketError(t *testing.T) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.98.0.1:0")))
	assert.NilError(t, err)
	logs, set, handled, ended := &logBuffer{}, metrics.NewSet(), make(chan string), make(chan struct{})
	go func() {
		path.Receive(log.New(logs), conn, set, func(raw []byte, _ netip.AddrPort) {
			text := string(raw[len(raw)-3:])
			if text == "bad" {
				panic("cannot bear it")
			}
			handled <- text
		})
		close(ended)
	}()
	send := func(text string) {
		sender, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
		assert.NilError(t, err)
		defer sender.Close()
		_, err = sender.Write([]byte(text))
		assert.NilError(t, err)
	}
	expect := func(text string) {
		t.Helper()
		select {
		case got := <-handled:
			assert.Equal(t, got, text)
		case <-time.After(3 * time.Second):
			t.Fatalf("%q was not handled", text)
		}
	}
	send("one")
	expect("one")
	send("bad")
	send("two")
	expect("two")
	assert.Equal(t, set.GetOrCreateCounter("dogwood_panics_total").Get(), uint64(1))
	assert.Assert(t, logs.contains("cannot bear it"))
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(-time.Second)))
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, conn.SetReadDeadline(time.Time{}))
	send("six")
	expect("six")
	assert.NilError(t, conn.Close())
	<-ended
}
