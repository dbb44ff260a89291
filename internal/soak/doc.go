// Package soak runs real chivemast-edge processes on loopback, injects faults
// from outside of them by a seeded schedule, and checks the promises from what
// callers and upstreams see: proxies before the store delay, reset, silence and
// cut connections one way; signals stop, pause, kill and restart processes;
// upstreams crash, drain, start again and lose their addresses to others.
package soak
