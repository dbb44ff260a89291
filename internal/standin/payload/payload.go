// Package payload encodes the answers that the test upstreams send. Each part is
// a record with a header, so that a caller can detect mixed and truncated
// answers, also if an instance joined several parts into one packet.
package payload

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// headerSize is the size of a record's header in bytes.
const headerSize = 40

// magic is the first 4 bytes of each record, big-endian.
const magic = 0x43485631

// Part identifies one part of an answer.
type Part struct {
	FlowID    uint64
	RequestID uint64
	// Run identifies the execution that produced the answer. Two runs never
	// have the same value.
	Run uint64
	// Part is the index of the part, from 0. Parts is the number of parts of the
	// answer.
	Part, Parts uint32
}

// FormatError reports that an answer is not the whole answer to its request.
type FormatError struct {
	// Mixed is true if the answer contains a record of another flow or request,
	// or records of several runs. It is false if the answer is truncated, out of
	// order or malformed.
	Mixed  bool
	Detail string
}

func (e *FormatError) Error() string { return "answer: " + e.Detail }

// Encode returns the record of a part with size bytes of filler, which are
// derived from p so that Verify can detect corrupted ones.
func Encode(p Part, size int) []byte {
	b := make([]byte, headerSize+size)
	binary.BigEndian.PutUint32(b[0:], magic)
	binary.BigEndian.PutUint32(b[4:], uint32(size))
	binary.BigEndian.PutUint64(b[8:], p.FlowID)
	binary.BigEndian.PutUint64(b[16:], p.RequestID)
	binary.BigEndian.PutUint64(b[24:], p.Run)
	binary.BigEndian.PutUint32(b[32:], p.Part)
	binary.BigEndian.PutUint32(b[36:], p.Parts)
	writeFiller(b[headerSize:], p)
	return b
}

func writeFiller(b []byte, p Part) {
	x := byte(p.Run) ^ byte(p.RequestID) ^ byte(p.Part)
	for i := range b {
		b[i] = x + byte(i)
	}
}

// Verify checks that body, the concatenated payloads of an answer, contains all
// parts of one run of the request in order, and returns the run. Otherwise it
// returns a *FormatError.
func Verify(body []byte, flowID, requestID uint64) (uint64, error) {
	var run uint64
	var parts, next uint32
	for len(body) > 0 {
		p, rest, err := decodeRecord(body)
		if err != nil {
			return 0, err
		}
		body = rest
		if p.FlowID != flowID || p.RequestID != requestID {
			return 0, &FormatError{Mixed: true, Detail: fmt.Sprintf(
				"flow %d request %d has a part of flow %d request %d", flowID, requestID, p.FlowID, p.RequestID)}
		}
		if next == 0 {
			run, parts = p.Run, p.Parts
		}
		if p.Run != run {
			return 0, &FormatError{Mixed: true, Detail: fmt.Sprintf("contains parts of runs %x and %x", run, p.Run)}
		}
		if p.Part != next || p.Parts != parts {
			return 0, &FormatError{Detail: fmt.Sprintf("part %d of %d, expected part %d of %d", p.Part, p.Parts, next, parts)}
		}
		next++
	}
	if next == 0 || next != parts {
		return 0, &FormatError{Detail: fmt.Sprintf("got %d of %d parts", next, parts)}
	}
	return run, nil
}

func decodeRecord(b []byte) (Part, []byte, error) {
	if len(b) < headerSize || binary.BigEndian.Uint32(b) != magic {
		return Part{}, nil, &FormatError{Detail: "record header is truncated or has a wrong magic number"}
	}
	size := uint64(binary.BigEndian.Uint32(b[4:]))
	if uint64(len(b)-headerSize) < size {
		return Part{}, nil, &FormatError{Detail: "record is shorter than the size in its header"}
	}
	p := Part{
		FlowID:    binary.BigEndian.Uint64(b[8:]),
		RequestID: binary.BigEndian.Uint64(b[16:]),
		Run:       binary.BigEndian.Uint64(b[24:]),
		Part:      binary.BigEndian.Uint32(b[32:]),
		Parts:     binary.BigEndian.Uint32(b[36:]),
	}
	filler := b[headerSize : headerSize+int(size)]
	wantFiller := make([]byte, size)
	writeFiller(wantFiller, p)
	if !bytes.Equal(filler, wantFiller) {
		return Part{}, nil, &FormatError{Detail: "filler of a record is corrupted"}
	}
	return p, b[headerSize+int(size):], nil
}
