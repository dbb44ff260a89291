// Package loadsim tests the decisions for new and established flows under load
// in virtual time, without network: callers, instances with their engines,
// upstreams with slots and a queue, and a fabric that hashes flows over the
// instances in rotation. It has only tests, each named after the pattern of
// load that it answers.
package loadsim
