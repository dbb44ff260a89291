package payload

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func whole(run uint64, parts uint32) [][]byte {
	var out [][]byte
	for i := range parts {
		out = append(out, Encode(Part{FlowID: 1, RequestID: 2, Run: run, Part: i, Parts: parts}, 10))
	}
	return out
}

// Guards against a caller that takes a mixed or truncated answer for a whole
// one.
func TestVerifyRejectsAnythingButTheWholeAnswer(t *testing.T) {
	a, b := whole(7, 3), whole(8, 3)
	damaged := slices.Concat(a...)
	damaged[len(damaged)-1] ^= 1
	cases := []struct {
		name  string
		body  []byte
		ok    bool
		mixed bool
	}{
		{name: "whole", body: slices.Concat(a...), ok: true},
		{name: "two runs", body: slices.Concat(a[0], b[1], a[2]), mixed: true},
		{name: "another request", body: Encode(Part{FlowID: 1, RequestID: 3, Run: 7, Parts: 1}, 1), mixed: true},
		{name: "another flow", body: Encode(Part{FlowID: 2, RequestID: 2, Run: 7, Parts: 1}, 1), mixed: true},
		{name: "last part missing", body: slices.Concat(a[0], a[1])},
		{name: "first part missing", body: slices.Concat(a[1], a[2])},
		{name: "out of order", body: slices.Concat(a[0], a[2], a[1])},
		{name: "cut inside a part", body: slices.Concat(a...)[:len(a[0])*3-1]},
		{name: "damaged", body: damaged},
		{name: "empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run, err := Verify(c.body, 1, 2)
			if c.ok {
				require.NoError(t, err)
				require.EqualValues(t, 7, run)
				return
			}
			var target *FormatError
			require.ErrorAs(t, err, &target)
			require.Equal(t, c.mixed, target.Mixed)
		})
	}
}

// Guards against a panic or a wrong acceptance on malformed input.
func FuzzVerify(f *testing.F) {
	f.Add(slices.Concat(whole(7, 2)...))
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := Verify(body, 1, 2); err == nil {
			require.NotEmpty(t, body)
		}
	})
}
