// Package flowcookie names one incarnation of an upstream in 32 bits that both
// ends of a flow return with every packet. Any instance that knows the upstream
// resolves the cookie without state of the flow.
package flowcookie

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Cookie names one incarnation of an upstream. It does not depend on the
// instance or on the other upstreams, so that all instances agree on it without
// messages.
type Cookie uint32

// None is the cookie of a packet that has not been assigned an upstream.
const None Cookie = 0

// Of returns the cookie of the upstream with an id that started at born, in
// Unix milliseconds. A restart under the same id has another cookie. The result
// is never None.
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
