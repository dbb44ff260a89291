// Package payload encodes the bodies of stand-in answers so that a caller can
// tell whole answers from mixed and truncated ones, also when an instance
// joined several parts into one packet.
package payload

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// headerSize is the size in bytes of the header of one record.
const headerSize = 40

// magic starts each record.
const magic = 0x43485631

// Part identifies one part of one answer.
type Part struct {
	FlowID    uint64
	RequestID uint64
	// Run identifies the execution that produced the answer. Two runs never
	// have the same value.
	Run uint64
	// Part counts from 0; Parts is the number of parts.
	Part, Parts uint32
}

// FormatError says that an answer is not a whole answer to the request.
type FormatError struct {
	// Mixed is true when records of different runs, requests or flows meet.
	// It is false when the answer is truncated or malformed.
	Mixed  bool
	Detail string
}

func (e *FormatError) Error() string { return "answer: " + e.Detail }

// Encode returns the payload of a part with size bytes of filler.
func Encode(p Part, size int) []byte {
	b := make([]byte, headerSize+size)
	binary.BigEndian.PutUint32(b[0:], magic)
	binary.BigEndian.PutUint32(b[4:], uint32(size))
	binary.BigEndian.PutUint64(b[8:], p.FlowID)
	binary.BigEndian.PutUint64(b[16:], p.RequestID)
	binary.BigEndian.PutUint64(b[24:], p.Run)
	binary.BigEndian.PutUint32(b[32:], p.Part)
	binary.BigEndian.PutUint32(b[36:], p.Parts)
	fill(b[headerSize:], p)
	return b
}

func fill(b []byte, p Part) {
	x := byte(p.Run) ^ byte(p.RequestID) ^ byte(p.Part)
	for i := range b {
		b[i] = x + byte(i)
	}
}

// Verify checks the joined payloads of an answer and returns the run that
// produced it. It fails with *FormatError.
func Verify(body []byte, flowID, requestID uint64) (uint64, error) {
	var run uint64
	var parts, next uint32
	for len(body) > 0 {
		p, rest, err := decode(body)
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
			return 0, &FormatError{Mixed: true, Detail: fmt.Sprintf("parts of runs %x and %x", run, p.Run)}
		}
		if p.Part != next || p.Parts != parts {
			return 0, &FormatError{Detail: fmt.Sprintf("part %d of %d where %d of %d belongs", p.Part, p.Parts, next, parts)}
		}
		next++
	}
	if next == 0 || next != parts {
		return 0, &FormatError{Detail: fmt.Sprintf("%d of %d parts", next, parts)}
	}
	return run, nil
}

func decode(b []byte) (Part, []byte, error) {
	if len(b) < headerSize || binary.BigEndian.Uint32(b) != magic {
		return Part{}, nil, &FormatError{Detail: "malformed record header"}
	}
	size := uint64(binary.BigEndian.Uint32(b[4:]))
	if uint64(len(b)-headerSize) < size {
		return Part{}, nil, &FormatError{Detail: "record is cut short"}
	}
	p := Part{
		FlowID:    binary.BigEndian.Uint64(b[8:]),
		RequestID: binary.BigEndian.Uint64(b[16:]),
		Run:       binary.BigEndian.Uint64(b[24:]),
		Part:      binary.BigEndian.Uint32(b[32:]),
		Parts:     binary.BigEndian.Uint32(b[36:]),
	}
	content := b[headerSize : headerSize+int(size)]
	want := make([]byte, size)
	fill(want, p)
	if !bytes.Equal(content, want) {
		return Part{}, nil, &FormatError{Detail: "record content is damaged"}
	}
	return p, b[headerSize+int(size):], nil
}
