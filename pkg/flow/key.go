// Package flow determines which agent owns a flow, that is, which agent's server holds
// it. Key identifies a flow, and Cache is a balancer's cache of owners. Owner holds the
// rules by which an agent delivers a packet to its server, admits a new flow, or forwards
// the packet to the next agent in the flow's rendezvous order.
//
// Package steer uses only Key and Cache: its agents do not forward packets to each other.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key is the five-tuple of a flow as the caller sends it.
type Key struct {
	SourceIP   [16]byte // IPv4 in its mapped form
	TargetIP   [16]byte // address of the service
	SourcePort uint16
	TargetPort uint16
	Protocol   uint8 // IP protocol number, 0 if unknown
}

// NewKey returns the key of a packet that a caller sends from source to target.
func NewKey(source, target netip.AddrPort, protocol uint8) Key {
	return Key{source.Addr().As16(), target.Addr().As16(), source.Port(), target.Port(), protocol}
}

// Source returns the caller's address.
func (k Key) Source() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.SourceIP).Unmap(), k.SourcePort)
}

// Target returns the service's address.
func (k Key) Target() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.TargetIP).Unmap(), k.TargetPort)
}

// Hash returns a uniformly distributed hash of the key, the same in every process.
func (k Key) Hash() uint64 {
	var b [37]byte
	copy(b[0:], k.SourceIP[:])
	copy(b[16:], k.TargetIP[:])
	binary.BigEndian.PutUint16(b[32:], k.SourcePort)
	binary.BigEndian.PutUint16(b[34:], k.TargetPort)
	b[36] = k.Protocol
	return xxhash.Sum64(b[:])
}

// String formats the key for logs. An unknown protocol, 0, is left out.
func (k Key) String() string {
	if k.Protocol == 0 {
		return fmt.Sprintf("%s->%s", k.Source(), k.Target())
	}
	return fmt.Sprintf("%d:%s->%s", k.Protocol, k.Source(), k.Target())
}
