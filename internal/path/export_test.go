package path

import (
	"net"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Receive runs a receiver of a socket.
func Receive(logger *log.Logger, conn *net.UDPConn, set *metrics.Set, handle func(raw []byte, from netip.AddrPort)) {
	newReceiver(logger, conn, new(sync.Mutex), set, handle).run()
}
