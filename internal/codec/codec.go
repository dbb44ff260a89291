// Package codec encodes the objects that instances write themselves, such as
// placement tables: Protobuf messages compressed with DEFLATE.
package codec

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxBytes is the largest accepted size of a message after decompression, in bytes.
// The largest message, a placement table, has 1,024 buckets with three numbers of
// at most 5 bytes each, and at most 4,096 upstreams of 200 bytes.
const MaxBytes = 1 << 20

// DecodeError reports that a value cannot be decompressed or is not an encoded
// message of the expected type.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return fmt.Sprintf("value cannot be decoded: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// TooLargeError reports that a message is larger than Limit, in bytes, after
// decompression.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message is larger than %d bytes after decompression", e.Limit)
}

// Encode returns the compressed encoding of a message; equal messages have equal
// encodings. Compression is effective because the 1,024 owners of a placement table
// and the names in a slot table are repetitive, and it matters because these
// objects are sent to every instance at each change. Encode fails if the message
// cannot be marshalled or compressed.
func Encode(m proto.Message) ([]byte, error) {
	marshalled, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	_, err = w.Write(marshalled)
	if err := errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return compressed.Bytes(), nil
}

// Decode decodes a value written by Encode into m. It fails with *DecodeError; the
// error wraps a *TooLargeError if the message is larger than MaxBytes.
func Decode(value []byte, m proto.Message) error {
	marshalled, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), MaxBytes+1))
	if err != nil {
		return &DecodeError{Err: err}
	}
	if len(marshalled) > MaxBytes {
		return &DecodeError{Err: &TooLargeError{Limit: MaxBytes}}
	}
	if err := proto.Unmarshal(marshalled, m); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}
