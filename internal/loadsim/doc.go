// Package loadsim tests the decisions for new and established flows under load, in
// virtual time and without a network. It simulates callers, instances with their
// engines, upstreams with slots and a queue, and a fabric that hashes flows over the
// instances in rotation. The package has only tests, each named after its load pattern
// or fault.
package loadsim
