package node

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// maxTableBytes bounds an uncompressed table: 1,024 buckets with three numbers
// of at most 5 bytes, and 4,096 upstreams of at most 200 bytes.
const maxTableBytes = 1 << 20

// TableDecodeError says that the value of a table object cannot be decoded.
type TableDecodeError struct{ Err error }

func (e *TableDecodeError) Error() string { return fmt.Sprintf("table cannot be decoded: %v", e.Err) }

// Unwrap returns the cause.
func (e *TableDecodeError) Unwrap() error { return e.Err }

// TableTooLargeError says that a table exceeds the limit after decompression.
type TableTooLargeError struct{ Limit int }

func (e *TableTooLargeError) Error() string {
	return fmt.Sprintf("table is larger than %d bytes", e.Limit)
}

// encodeTable returns the value of a table object: Protobuf compressed by
// DEFLATE. The 1,024 owners of a table have few distinct values, and a table
// is sent to every instance at each change.
func encodeTable(t *pb.ServiceTable) ([]byte, error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	_, werr := w.Write(plain)
	if err := errors.Join(werr, w.Close()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeTable reverses encodeTable. It fails with *TableDecodeError.
func decodeTable(value []byte) (*pb.ServiceTable, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxTableBytes+1))
	if err != nil {
		return nil, &TableDecodeError{Err: err}
	}
	if len(plain) > maxTableBytes {
		return nil, &TableDecodeError{Err: &TableTooLargeError{Limit: maxTableBytes}}
	}
	t := &pb.ServiceTable{}
	if err := proto.Unmarshal(plain, t); err != nil {
		return nil, &TableDecodeError{Err: err}
	}
	return t, nil
}
