// Package peer transports control messages between processes in UDP datagrams, and
// configuration changes from the platform by HTTP or from other processes by JSON-RPC
// over TCP.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// fetchTimeout bounds one fetch of a configuration change, including the connection
// setup.
const fetchTimeout = 5 * time.Second

// ipUDPHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const ipUDPHeaderBytes = 28

// ControlSocket is the UDP socket for the control messages of a process.
type ControlSocket struct {
	conn     *net.UDPConn
	sent     atomic.Uint64 // bytes, with IP and UDP headers
	received atomic.Uint64
}

// ListenControl opens the control socket on a host's address.
func ListenControl(host netip.Addr) (*ControlSocket, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, conf.ControlPort))
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "open control socket %s", addr)
	}
	return &ControlSocket{conn: conn}, nil
}

// Send sends a message to the control socket of a host. The message may be lost.
func (s *ControlSocket) Send(to netip.Addr, m wire.Message) {
	raw, err := wire.Encode(m)
	if err != nil {
		return
	}
	s.sent.Add(uint64(len(raw) + ipUDPHeaderBytes))
	// Errors are ignored like lost datagrams: the sender's timers repeat the message.
	_, _ = s.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(to, conf.ControlPort))
}

// Receive calls f with each message and its sender's address until the socket is closed.
// Datagrams that cannot be decoded are ignored.
func (s *ControlSocket) Receive(f func(from netip.Addr, m wire.Message)) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		s.received.Add(uint64(n + ipUDPHeaderBytes))
		if m, err := wire.Decode(buffer[:n]); err == nil {
			f(from.Addr().Unmap(), m)
		}
	}
}

// Bytes returns the bytes sent and received, with IP and UDP headers.
func (s *ControlSocket) Bytes() (sent, received uint64) { return s.sent.Load(), s.received.Load() }

// Close closes the socket.
func (s *ControlSocket) Close() error { return s.conn.Close() }

// sinceMethod is the JSON-RPC method that transfers configuration changes.
const sinceMethod = "Config.Since"

// sinceParams are the parameters of sinceMethod.
type sinceParams struct {
	After uint64
}

// Fetch fetches the configuration change after a revision from another process.
func Fetch(ctx context.Context, from netip.AddrPort, after uint64) (spread.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", from.String())
	if err != nil {
		return spread.Change{}, errors.Wrapf(err, "connect to %s", from)
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), noopHandler{})
	defer rpc.Close()
	var change spread.Change
	err = rpc.Call(ctx, sinceMethod, sinceParams{after}, &change)
	return change, errors.Wrapf(err, "fetch the change after revision %d from %s", after, from)
}

// noopHandler ignores requests that the server sends to the client.
type noopHandler struct{}

func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Server answers other processes' fetches. Set the exported field before Run.
type Server struct {
	// Since returns the change from a revision to the one in force.
	Since func(ctx context.Context, after uint64) (spread.Change, error)
}

// Run accepts connections until the context ends or the listener is closed.
func (s *Server) Run(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(s.handle))
	}
}

// handle answers one JSON-RPC request.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != sinceMethod || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	}
	var params sinceParams
	if err := decodeJSON(*r.Params, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return s.Since(ctx, params.After)
}
