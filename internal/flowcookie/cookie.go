// Package flowcookie identifies one incarnation of an upstream by 32 bits that both
// ends of a flow return with every packet. An instance that knows the upstream finds it
// by the cookie, without a record of the flow.
package flowcookie

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Cookie identifies one incarnation of an upstream. It depends neither on the instance
// nor on the other upstreams, so that all instances compute the same value without
// communication.
type Cookie uint32

// None is the cookie of a packet that belongs to no upstream yet.
const None Cookie = 0

// startBits is the number of low bits of a cookie by id that depend on the start. The
// others suffice to tell the ids of a few hundred upstreams apart.
const startBits = 12

// Of returns the cookie of the upstream with an id that started at born, in Unix
// milliseconds. A restart under the same id has another start time and so, up to hash
// collisions, another cookie. The result is never None.
func Of(id string, born int64) Cookie {
	sum := hashStart(id, born)
	cookie := Cookie(sum ^ sum>>32)
	if cookie == None {
		return 1
	}
	return cookie
}

// ByID returns the cookie by id of the same upstream: all incarnations under one id have
// the same ID, and up to hash collisions different cookies. The result is never None.
func ByID(id string, born int64) Cookie {
	sum := hashStart(id, born)
	cookie := Cookie(xxhash.Sum64String(id)>>(64-32+startBits))<<startBits | Cookie(sum>>32)&(1<<startBits-1)
	if cookie == None {
		return 1
	}
	return cookie
}

// ID is the part of a cookie by id that depends on the id alone.
type ID uint32

// ID returns the part of a cookie by id that depends on the id alone.
func (c Cookie) ID() ID { return ID(c >> startBits) }

func hashStart(id string, born int64) uint64 {
	var start [8]byte
	binary.BigEndian.PutUint64(start[:], uint64(born))
	digest := xxhash.New()
	_, _ = digest.WriteString(id) // A digest accepts every write.
	_, _ = digest.Write(start[:])
	return digest.Sum64()
}
