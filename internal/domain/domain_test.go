package domain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/membership"
)

// Guards against packets to a failure domain that operators have taken out, or may
// have taken out without this instance knowing, and against refusing packets to a
// domain that may receive them.
func TestCheck(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tc := range []struct {
		name      string
		domain    string
		takenOut  bool
		confirmed time.Time
		contact   time.Time
		want      Verdict
	}{
		{"confirmed", "d1", false, ago(2 * time.Second), time.Time{}, Allowed},
		{"no confirmation, recent contact", "d1", false, time.Time{}, ago(2 * time.Second), Allowed},
		{"old confirmation, old contact", "d1", false, ago(2001 * time.Millisecond), ago(2001 * time.Millisecond), Stale},
		{"no confirmation, no contact", "d1", false, time.Time{}, time.Time{}, Stale},
		{"own domain without confirmation or contact", "d0", false, time.Time{}, time.Time{}, Allowed},
		{"taken out and confirmed", "d1", true, now, now, TakenOut},
		{"own domain taken out", "d0", true, now, now, TakenOut},
	} {
		d := New(Config{OwnDomain: "d0"}, "i0")
		d.Adopt(tc.domain, &pb.DomainState{Out: tc.takenOut})
		view := &membership.View{Members: []membership.Member{
			{Name: "i0", FailureDomain: "d0", LastHeard: now},
			{Name: "i1", FailureDomain: "d1", LastHeard: tc.contact},
		}}
		require.Equal(t, tc.want, d.Check(now, tc.domain, tc.confirmed, view), tc.name)
		require.Equal(t, tc.want == Allowed, d.MaySend(now, tc.domain, tc.confirmed, view), tc.name)
		d.Adopt(tc.domain, nil)
		require.False(t, d.Out(tc.domain))
	}
}
