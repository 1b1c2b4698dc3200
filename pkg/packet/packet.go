// Package packet decodes and builds the IP packets of callers and backend servers. On
// the network each is the payload of one UDP datagram, as in FOU and variant 1 of GUE,
// so the first four bits of the payload are the IP version.
package packet

import (
	"net"

	"dogwoodlanding.example/dogwood/pkg/flow"
	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// IP protocol numbers.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// MaxBytes is the size of the largest packet that fits into a UDP datagram over IPv4.
const MaxBytes = 65507

const defaultTTL = 64 // TTL or hop limit of the packets that are built

// Info is the decoded part of a packet. Seq and Ack are set for TCP only.
type Info struct {
	Key             flow.Key
	OpensConnection bool // TCP segment with SYN and without ACK
	EndsConnection  bool // TCP segment with FIN or RST
	Seq             uint32
	Ack             uint32
	Payload         []byte // shares memory with the packet
}

// Reader decodes packets without allocating memory for each. The zero value is ready
// for use. It is not safe for concurrent use.
type Reader struct {
	v4      layers.IPv4
	v6      layers.IPv6
	tcp     layers.TCP
	udp     layers.UDP
	parsers [2]*gopacket.DecodingLayerParser // for IPv4 and IPv6
	decoded []gopacket.LayerType
}

// parserFor returns the parser at an index, and creates it for the given first layer
// if it does not exist.
func (r *Reader) parserFor(first gopacket.LayerType, index int) *gopacket.DecodingLayerParser {
	if r.parsers[index] == nil {
		p := gopacket.NewDecodingLayerParser(first, &r.v4, &r.v6, &r.tcp, &r.udp)
		p.IgnoreUnsupported = true
		r.parsers[index] = p
	}
	return r.parsers[index]
}

// Read decodes an IPv4 or IPv6 packet that carries TCP or UDP.
func (r *Reader) Read(raw []byte) (Info, error) {
	if len(raw) == 0 {
		return Info{}, errors.New("packet is empty")
	}
	var err error
	switch raw[0] >> 4 {
	case 4:
		err = r.parserFor(layers.LayerTypeIPv4, 0).DecodeLayers(raw, &r.decoded)
	case 6:
		err = r.parserFor(layers.LayerTypeIPv6, 1).DecodeLayers(raw, &r.decoded)
	default:
		return Info{}, errors.Newf("unsupported IP version %d", raw[0]>>4)
	}
	if err != nil {
		return Info{}, errors.Wrap(err, "decode packet")
	}
	if len(r.decoded) != 2 {
		return Info{}, errors.Newf("unsupported packet: decoded %d layers, want IP followed by TCP or UDP", len(r.decoded))
	}
	return r.decodedInfo(), nil
}

func (r *Reader) decodedInfo() Info {
	var info Info
	if r.decoded[0] == layers.LayerTypeIPv4 {
		info.Key.SourceIP, info.Key.TargetIP = ipv4Mapped(r.v4.SrcIP), ipv4Mapped(r.v4.DstIP)
	} else {
		copy(info.Key.SourceIP[:], r.v6.SrcIP)
		copy(info.Key.TargetIP[:], r.v6.DstIP)
	}
	if r.decoded[1] == layers.LayerTypeTCP {
		info.Key.Protocol = ProtocolTCP
		info.Key.SourcePort, info.Key.TargetPort = uint16(r.tcp.SrcPort), uint16(r.tcp.DstPort)
		info.OpensConnection = r.tcp.SYN && !r.tcp.ACK
		info.EndsConnection = r.tcp.FIN || r.tcp.RST
		info.Seq, info.Ack = r.tcp.Seq, r.tcp.Ack
		info.Payload = r.tcp.Payload
		return info
	}
	info.Key.Protocol = ProtocolUDP
	info.Key.SourcePort, info.Key.TargetPort = uint16(r.udp.SrcPort), uint16(r.udp.DstPort)
	info.Payload = r.udp.Payload
	return info
}

// ipv4Mapped returns an IPv4 address as an IPv4-mapped IPv6 address.
func ipv4Mapped(ip net.IP) [16]byte {
	out := [16]byte{10: 0xff, 11: 0xff}
	copy(out[12:], ip)
	return out
}

// Flags are the TCP flags of a segment to build.
type Flags struct {
	Syn, Ack, Fin, Rst bool
}

// Segment builds an IP packet with a TCP segment from the source to the target of a
// key.
func Segment(key flow.Key, flags Flags, seq, ack uint32, payload []byte) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(key.SourcePort), DstPort: layers.TCPPort(key.TargetPort),
		Seq: seq, Ack: ack, Window: 65535,
		SYN: flags.Syn, ACK: flags.Ack, FIN: flags.Fin, RST: flags.Rst,
	}
	return buildPacket(key, layers.IPProtocolTCP, tcp, payload)
}

// Datagram builds an IP packet with a UDP datagram from the source to the target of a
// key.
func Datagram(key flow.Key, payload []byte) ([]byte, error) {
	udp := &layers.UDP{SrcPort: layers.UDPPort(key.SourcePort), DstPort: layers.UDPPort(key.TargetPort)}
	return buildPacket(key, layers.IPProtocolUDP, udp, payload)
}

// transportLayer is a transport layer whose checksum covers the IP addresses.
type transportLayer interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

// buildPacket serializes an IP packet: IPv4 if both addresses are IPv4, otherwise IPv6.
func buildPacket(key flow.Key, protocol layers.IPProtocol, segment transportLayer, payload []byte) ([]byte, error) {
	var network gopacket.SerializableLayer
	var checksumLayer gopacket.NetworkLayer
	source, target := key.Source().Addr(), key.Target().Addr()
	if source.Is4() && target.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: defaultTTL, Protocol: protocol, SrcIP: source.AsSlice(), DstIP: target.AsSlice()}
		network, checksumLayer = ip, ip
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: defaultTTL, NextHeader: protocol, SrcIP: key.SourceIP[:], DstIP: key.TargetIP[:]}
		network, checksumLayer = ip, ip
	}
	if err := segment.SetNetworkLayerForChecksum(checksumLayer); err != nil {
		return nil, errors.Wrap(err, "prepare checksum")
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, network, segment, gopacket.Payload(payload)); err != nil {
		return nil, errors.Wrapf(err, "build packet %s", key)
	}
	return buffer.Bytes(), nil
}

// Reverse returns the key of the opposite direction.
func Reverse(key flow.Key) flow.Key {
	return flow.Key{
		SourceIP: key.TargetIP, TargetIP: key.SourceIP,
		SourcePort: key.TargetPort, TargetPort: key.SourcePort,
		Protocol: key.Protocol,
	}
}

// Reset builds the TCP reset in answer to a packet whose flow does not exist.
func Reset(info Info) ([]byte, error) {
	return Segment(Reverse(info.Key), Flags{Rst: true, Ack: true}, info.Ack, info.Seq+1, nil)
}
