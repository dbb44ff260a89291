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

// Of returns the cookie of the upstream with an id that started at born, in Unix
// milliseconds. A restart under the same id has another start time and so, up to hash
// collisions, another cookie. The result is never None.
func Of(id string, born int64) Cookie {
	var start [8]byte
	binary.BigEndian.PutUint64(start[:], uint64(born))
	digest := xxhash.New()
	_, _ = digest.WriteString(id) // A digest accepts every write.
	_, _ = digest.Write(start[:])
	sum := digest.Sum64()
	cookie := Cookie(sum ^ sum>>32)
	if cookie == None {
		return 1
	}
	return cookie
}
