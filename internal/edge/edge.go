// Package edge provides the socket for IP packets encapsulated in UDP datagrams, and the
// encoding of requests and answers as JSON-RPC in UDP payloads.
package edge

import (
	"encoding/json"
	"net"
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/jsonrpc2"
)

// socketBufferBytes is the size of the kernel buffers requested for each direction of a
// socket, so that bursts of packets fit.
const socketBufferBytes = 4 << 20

// PacketSocket sends and receives IP packets encapsulated in UDP datagrams.
type PacketSocket struct {
	conn *net.UDPConn
}

// ListenPackets opens the packet socket on a host's address.
func ListenPackets(host netip.Addr) (*PacketSocket, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, conf.PacketPort))
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "open packet socket %s", addr)
	}
	// Errors are ignored: with smaller buffers only more packets of a burst are lost.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &PacketSocket{conn}, nil
}

// Receive calls f with the sender's address and the payload of each datagram until the
// socket is closed. f may keep raw, which is a copy.
func (s *PacketSocket) Receive(f func(from netip.Addr, raw []byte)) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		raw := make([]byte, n)
		copy(raw, buffer[:n])
		f(from.Addr().Unmap(), raw)
	}
}

// Send sends a datagram to the packet port of a host. The datagram may be lost.
func (s *PacketSocket) Send(to netip.Addr, raw []byte) {
	s.SendTo(netip.AddrPortFrom(to, conf.PacketPort), raw)
}

// SendTo sends a datagram to an address. Errors are ignored, since a datagram may be lost
// in the network as well.
func (s *PacketSocket) SendTo(to netip.AddrPort, raw []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(raw, to)
}

// Close closes the socket.
func (s *PacketSocket) Close() error { return s.conn.Close() }

// RequestParams are the parameters of a request sent as a JSON-RPC datagram.
type RequestParams struct {
	Copy      int   // number of this copy among those the caller sent, from 0
	TimeoutMs int64 // time until the caller's deadline; 0 means the service's deadline
	Body      json.RawMessage
}

// JSON-RPC error codes of answers without a result.
const (
	CodeNotRun  = -32001 // the request was not run
	CodeUnknown = -32002 // it is not known whether the request ran
)

// Refusal is the data field of a JSON-RPC error with one of these codes.
type Refusal struct {
	Outcome      string // "NotRun" or "Unknown"
	Copy         int
	RetryAfterMs int64
}

// DecodeRequest decodes a request from a UDP payload received at now. The request's time
// limit is the caller's, but at most the service's deadline.
func DecodeRequest(now clock.Millis, deadline clock.Millis, caller flow.Key, payload []byte) (wire.Request, error) {
	var rpc jsonrpc2.Request
	if err := json.Unmarshal(payload, &rpc); err != nil {
		return wire.Request{}, errors.Wrap(err, "decode JSON-RPC request")
	}
	id, err := uuid.Parse(rpc.ID.Str)
	if err != nil {
		return wire.Request{}, errors.Wrapf(err, "request ID %q", rpc.ID.Str)
	}
	var params RequestParams
	if rpc.Params != nil {
		if err := json.Unmarshal(*rpc.Params, &params); err != nil {
			return wire.Request{}, errors.Wrap(err, "decode request parameters")
		}
	}
	timeout := deadline
	if params.TimeoutMs > 0 {
		timeout = min(timeout, clock.Millis(params.TimeoutMs))
	}
	return wire.Request{
		ID: id, Copy: params.Copy, Method: rpc.Method, Params: params.Body,
		Expires: now + timeout, Caller: caller,
	}, nil
}

// EncodeRequest encodes a request as a UDP payload.
func EncodeRequest(id uuid.UUID, method string, params RequestParams) ([]byte, error) {
	body, err := json.Marshal(params)
	if err != nil {
		return nil, errors.Wrap(err, "encode request parameters")
	}
	raw := json.RawMessage(body)
	out, err := json.Marshal(jsonrpc2.Request{Method: method, Params: &raw, ID: jsonrpc2.ID{Str: id.String(), IsString: true}})
	return out, errors.Wrap(err, "encode JSON-RPC request")
}

// EncodeAnswer encodes the final answer to a request as an IP packet to its caller.
func EncodeAnswer(request wire.Request, answer wire.Answer) ([]byte, error) {
	response := jsonrpc2.Response{ID: jsonrpc2.ID{Str: request.ID.String(), IsString: true}}
	if answer.Outcome == wire.Done {
		result := json.RawMessage(answer.Result)
		response.Result = &result
	} else {
		code := int64(CodeUnknown)
		if answer.Outcome == wire.NotRun {
			code = CodeNotRun
		}
		response.Error = &jsonrpc2.Error{Code: code, Message: answer.Reason}
		response.Error.SetError(Refusal{answer.Outcome.String(), request.Copy, int64(answer.RetryAfterMs)})
	}
	payload, err := json.Marshal(response)
	if err != nil {
		return nil, errors.Wrap(err, "encode JSON-RPC response")
	}
	return packet.Datagram(packet.Reverse(request.Caller), payload)
}

// DecodeAnswer decodes the final answer to a request from a UDP payload. The copy number
// is that of the refused copy, or 0 if the answer has a result.
func DecodeAnswer(payload []byte) (id string, answer wire.Answer, copyNumber int, err error) {
	var response jsonrpc2.Response
	if err := json.Unmarshal(payload, &response); err != nil {
		return "", wire.Answer{}, 0, errors.Wrap(err, "decode JSON-RPC response")
	}
	if response.Error == nil {
		if response.Result == nil {
			return "", wire.Answer{}, 0, errors.New("JSON-RPC response has neither result nor error")
		}
		return response.ID.Str, wire.Answer{Outcome: wire.Done, Result: *response.Result}, 0, nil
	}
	var refusal Refusal
	if response.Error.Data != nil {
		if err := json.Unmarshal(*response.Error.Data, &refusal); err != nil {
			return "", wire.Answer{}, 0, errors.Wrap(err, "decode refusal")
		}
	}
	answer = wire.Answer{Outcome: wire.Unknown, Reason: response.Error.Message, RetryAfterMs: clock.Millis(refusal.RetryAfterMs)}
	if response.Error.Code == CodeNotRun {
		answer.Outcome = wire.NotRun
	}
	return response.ID.Str, answer, refusal.Copy, nil
}
