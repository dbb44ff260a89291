// Package codec encodes the values of the system's own large objects:
// Protobuf messages compressed by DEFLATE.
package codec

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxBytes bounds a message after decompression. The largest one, a placement
// table, has 1,024 buckets with three numbers of at most 5 bytes and at most
// 4,096 upstreams of 200 bytes.
const MaxBytes = 1 << 20

// DecodeError says that a value cannot be decoded.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return fmt.Sprintf("value cannot be decoded: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// TooLargeError says that a message exceeds the limit after decompression.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message is larger than %d bytes", e.Limit)
}

// Encode returns the compressed encoding of a message. The 1,024 owners of a
// placement table and the names in a slot table repeat a lot, and these
// objects are sent to every instance at each change.
func Encode(m proto.Message) ([]byte, error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	_, err = w.Write(plain)
	if err := errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// Decode reverses Encode. It fails with *DecodeError.
func Decode(value []byte, m proto.Message) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), MaxBytes+1))
	if err != nil {
		return &DecodeError{Err: err}
	}
	if len(plain) > MaxBytes {
		return &DecodeError{Err: &TooLargeError{Limit: MaxBytes}}
	}
	if err := proto.Unmarshal(plain, m); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}
