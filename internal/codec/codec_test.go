package codec

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Guards against values that another instance cannot read back.
func TestDecodeReversesEncode(t *testing.T) {
	table := &pb.ServiceTable{Service: "a/b", Upstreams: []string{"u1"}, Owner: []uint32{1, 0, 1}, Change: 7}
	value, err := Encode(table)
	require.NoError(t, err)
	got := &pb.ServiceTable{}
	require.NoError(t, Decode(value, got))
	require.True(t, proto.Equal(table, got))
}

// Guards against a small value that fills the memory when decompressed.
func TestDecodeRefusesLargeMessages(t *testing.T) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	var tooLarge *TooLargeError
	require.ErrorAs(t, Decode(out.Bytes(), &pb.ServiceTable{}), &tooLarge)
}

// FuzzDecode guards against panics on values that were never encoded here.
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
