// Package standin groups the stand-ins of what surrounds the load balancer:
// the platform, the fabric, upstreams and callers. Each has a core without
// sockets that a program in virtual time can drive, and a server around it.
// The history package checks what callers and upstreams recorded.
package standin
