package codec

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Guards against encoded values that another instance cannot decode.
func TestDecodeReversesEncode(t *testing.T) {
	table := &pb.ServiceTable{Service: "a/b", Upstreams: []string{"u1"}, Owner: []uint32{1, 0, 1}, Change: 7}
	value, err := Encode(table)
	require.NoError(t, err)
	decoded := &pb.ServiceTable{}
	require.NoError(t, Decode(value, decoded))
	require.True(t, proto.Equal(table, decoded))
}

// Guards against a small value that exhausts memory when it is decompressed.
func TestDecodeRefusesLargeMessages(t *testing.T) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	var tooLarge *TooLargeError
	require.ErrorAs(t, Decode(compressed.Bytes(), &pb.ServiceTable{}), &tooLarge)
}

// Guards against panics on values that Encode did not write, and against errors of
// another type than *DecodeError.
func FuzzDecode(f *testing.F) {
	value, err := Encode(&pb.ServiceTable{Service: "a/b", Owner: []uint32{1}})
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00, 0x13})
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := Decode(data, &pb.ServiceTable{}); err != nil {
			var target *DecodeError
			require.ErrorAs(t, err, &target)
		}
	})
}
