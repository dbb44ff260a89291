// Package standin groups the test doubles for everything around the load
// balancer: the platform, the network (fabric), upstreams and callers. Each is
// a state machine without sockets, which a simulation in virtual time can
// drive, and a server that connects it to real sockets. Callers and upstreams
// record events, which package history checks against the load balancer's
// guarantees.
package standin
