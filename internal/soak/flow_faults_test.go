package soak

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// Guards against resets of open flows that the checker misses, and against violations for
// flows that have ended, lost their route or met an unplanned fault.
func TestResetsOfOpenFlowsAreChecked(t *testing.T) {
	caller, now := netip.MustParseAddrPort("127.0.0.2:1025"), time.Now()
	for _, tc := range []struct {
		name       string
		prepare    func(c *checker, u *upstream)
		violations int
		excused    int
	}{
		{"no fault", func(*checker, *upstream) {}, 1, 0},
		{"planned stop", func(c *checker, _ *upstream) { c.beginFault(plannedStop, "i")() }, 1, 0},
		{"fault of another instance", func(c *checker, _ *upstream) { c.beginFault(unplannedFault, "other") }, 1, 0},
		{"fault of the instance", func(c *checker, _ *upstream) { c.beginFault(unplannedFault, "i") }, 0, 1},
		{"recent fault of the store", func(c *checker, _ *upstream) { c.beginFault(unplannedFault, partStore)() }, 0, 1},
		{"flow ended at its upstream", func(_ *checker, u *upstream) { clear(u.flows) }, 0, 0},
		{"route removed", func(c *checker, _ *upstream) { c.removedAt[extraAddress] = now }, 0, 0},
		{"route removed and added since", func(c *checker, _ *upstream) { c.addedAt[extraAddress] = now.Add(time.Millisecond) }, 0, 0},
		{"route added before", func(c *checker, _ *upstream) { c.addedAt[extraAddress] = now.Add(-time.Millisecond) }, 1, 0},
	} {
		c, u := newChecker(), &upstream{Upstream: catalog.Upstream{ID: "u"}, flows: map[netip.AddrPort]uint32{caller: 1}}
		c.recordFlow(caller, u, now)
		tc.prepare(c, u)
		c.checkReset(caller, extraAddress, "i")
		require.Len(t, c.violations, tc.violations, tc.name)
		require.Len(t, c.excused, tc.excused, tc.name)
	}
}

// Guards against a blocked port that answers connection attempts, one that stays blocked,
// and one that cannot be closed.
func TestBlockedPortIsSilent(t *testing.T) {
	p, err := listenPort("127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan error, 1)
	accept := func() { _, err := p.Accept(); accepted <- err }
	unblock := p.block()
	_, err = net.DialTimeout("tcp4", p.Addr().String(), 100*time.Millisecond)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	unblock()
	go accept()
	require.NoError(t, <-accepted)
	p.block()
	go accept()
	require.NoError(t, p.Close())
	require.Error(t, <-accepted)
}

// Guards against a port at its limit that serves or refuses connections instead of resetting
// them, and against one that stays at its limit.
func TestPortAtLimitResetsConnections(t *testing.T) {
	p, err := listenPort("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, p.Close()) }()
	p.resetting.Add(1)
	accepted := make(chan error, 1)
	go func() { _, err := p.Accept(); accepted <- err }()
	conn, err := net.DialTimeout("tcp4", p.Addr().String(), time.Second)
	if err == nil {
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Empty(t, accepted)
	p.resetting.Add(-1)
	_, err = net.DialTimeout("tcp4", p.Addr().String(), time.Second)
	require.NoError(t, err)
	require.NoError(t, <-accepted)
}
