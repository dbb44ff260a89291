// Package soak runs chivemast-edge processes on loopback addresses, injects faults
// from outside by a seeded random schedule, and checks the users' rules by what
// callers and upstreams observe. Proxies in front of the store delay or reset the
// connections of an instance, or block them in one or both directions. Signals
// pause, kill, stop and reload processes. Upstreams crash, drain, restart under
// their id, and lose their address to an upstream of another service. The store refuses
// calls, loses its history, and is restored from a copy. Some seeds run with overload
// control and hedging: their upstreams refuse requests above a bound or become slow, and
// bursts of callers exceed what they can run. Others have faults that bear on open flows of
// sound upstreams, and callers with long and idle flows. In a third group of seeds instances
// are slow, the configuration is large and its transfers are slow, upstreams reset
// connections at a limit, and connection attempts to all of them are unanswered.
package soak
