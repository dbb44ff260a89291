package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet as PROTOCOL.md gives it: a head of 34 bytes, then the data.
const (
	headSize = 34

	flagSyn = 128
	flagAck = 32
	flagFin = 8
	flagRst = 4
)

// packet is one packet of a flow in either direction.
type packet struct {
	flags    byte
	seq, ack uint32
	sum      uint32
	src, dst netip.AddrPort
	echo     uint32
	data     []byte
}

// sumKey is the secret of the ends of a flow; instances do not know it.
var sumKey = []byte("ends of a flow")

// encode returns the datagram, with the keyed sum unless the packet is a reset of the
// system.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[18:], dst[:])
	copy(b[22:], src[:])
	binary.BigEndian.PutUint16(b[26:], p.src.Port())
	binary.BigEndian.PutUint16(b[28:], p.dst.Port())
	binary.BigEndian.PutUint32(b[30:], p.echo)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[14:], keyedSum(b))
	return b
}

// keyedSum covers all fields except echo, pad and the sum itself.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(sumKey)
	_, _ = h.Write(b[0:1])
	_, _ = h.Write(b[4:14])
	_, _ = h.Write(b[18:30])
	_, _ = h.Write(b[headSize:])
	return max(h.Sum32(), 1)
}

// decode decodes a datagram. written reports whether an end of the flow wrote it so; it
// is false for a reset of the system, whose sum is 0, and for an altered packet.
func decode(b []byte) (p packet, written, ok bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headSize {
		return p, false, false
	}
	p = packet{
		flags: b[0], seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]), sum: binary.BigEndian.Uint32(b[14:]),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[18:22])), binary.BigEndian.Uint16(b[28:])),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[26:])),
		echo: binary.BigEndian.Uint32(b[30:]), data: append([]byte(nil), b[headSize:]...),
	}
	return p, p.sum != 0 && p.sum == keyedSum(b), true
}
