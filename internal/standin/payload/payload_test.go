package payload

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func encodeParts(run uint64, parts uint32) [][]byte {
	var out [][]byte
	for i := range parts {
		out = append(out, Encode(Part{FlowID: 1, RequestID: 2, Run: run, Part: i, Parts: parts}, 10))
	}
	return out
}

// Guards against a caller that accepts a mixed, truncated or corrupted answer as
// the whole answer.
func TestVerifyAcceptsOnlyWholeAnswers(t *testing.T) {
	a, b := encodeParts(7, 3), encodeParts(8, 3)
	corrupted := slices.Concat(a...)
	corrupted[len(corrupted)-1] ^= 1
	cases := []struct {
		name  string
		body  []byte
		ok    bool
		mixed bool
	}{
		{name: "whole", body: slices.Concat(a...), ok: true},
		{name: "parts of two runs", body: slices.Concat(a[0], b[1], a[2]), mixed: true},
		{name: "another request", body: Encode(Part{FlowID: 1, RequestID: 3, Run: 7, Parts: 1}, 1), mixed: true},
		{name: "another flow", body: Encode(Part{FlowID: 2, RequestID: 2, Run: 7, Parts: 1}, 1), mixed: true},
		{name: "last part missing", body: slices.Concat(a[0], a[1])},
		{name: "first part missing", body: slices.Concat(a[1], a[2])},
		{name: "out of order", body: slices.Concat(a[0], a[2], a[1])},
		{name: "truncated inside a part", body: slices.Concat(a...)[:len(a[0])*3-1]},
		{name: "damaged", body: corrupted},
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

// Guards against a panic on malformed input, and against acceptance of an empty
// answer.
func FuzzVerify(f *testing.F) {
	f.Add(slices.Concat(encodeParts(7, 2)...))
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := Verify(body, 1, 2); err == nil {
			require.NotEmpty(t, body)
		}
	})
}
