package measure

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/request"
)

const (
	trackedFlows   = 200_000
	entriesPerPush = 200
	heldRecords    = 20_000
	// answerBytes is the payload of a small answer.
	answerBytes = 64
)

// printEntries measures the memory and time of one tracked flow and of one
// record of a request.
func (s *Slopes) printEntries() {
	bytes, elapsed := exceptionCost()
	fmt.Fprintf(s.Out, "kind=memory subject=exception entries=%d bytes_per_entry=%.1f processor_ns_per_entry=%d\n",
		trackedFlows, bytes/trackedFlows, elapsed.Nanoseconds()/trackedFlows)
	bytes, elapsed = recordCost()
	fmt.Fprintf(s.Out, "kind=memory subject=request_record entries=%d bytes_per_entry=%.1f processor_ns_per_entry=%d\n",
		heldRecords, bytes/heldRecords, elapsed.Nanoseconds()/heldRecords)
}

// exceptionCost records births as a backup tracker does.
func exceptionCost() (float64, time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	tracker := placement.NewTracker(placement.Config{MaxTrackedFlows: 2 * trackedFlows}, "instance-1")
	before, started := reachableBytes(), threadTime()
	for n := range trackedFlows / entriesPerPush {
		var entries []byte
		for range entriesPerPush {
			var fingerprint [8]byte
			binary.LittleEndian.PutUint64(fingerprint[:], rng.Uint64())
			entries = append(entries, fingerprint[:6]...)
		}
		tracker.HandleBirth(epoch, "instance-2", &pb.Birth{Sequence: uint64(n + 1), Groups: []*pb.FlowGroup{{
			Service: "team-00/service-000", Change: 1, Upstream: "u0001", Entries: entries,
		}}})
	}
	elapsed := threadTime() - started
	bytes := reachableBytes() - before
	runtime.KeepAlive(tracker)
	return bytes, elapsed
}

// recordCost decides requests that must not run twice, and their answers.
func recordCost() (float64, time.Duration) {
	engine := request.New(request.Config{ReplyTo: "127.1.0.1:7203", MaxRecords: 2 * heldRecords}, "instance-1", rand.New(rand.NewPCG(1, 1)))
	route := request.Route{
		Team: "team-00", Service: "team-00/service-000", MaxTimeout: 5 * time.Second, HoldsSlot: true,
		Term: request.LeaseTerm{Start: epoch.Add(-time.Hour), Until: epoch.Add(6 * time.Second), Clean: true},
	}
	before, started := reachableBytes(), threadTime()
	for n := range heldRecords {
		p := &pb.Packet{
			Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: "127.0.0.1:" + strconv.Itoa(1024+n%60_000), Service: "127.2.0.1:80",
			FlowId: uint64(n + 1), RequestId: uint64(n + 1), DeadlineUnixMs: epoch.Add(4 * time.Second).UnixMilli(),
		}
		engine.HandleRequest(epoch, p, route)
		engine.HandleAnswer(epoch, &pb.Packet{
			Kind: pb.PacketKind_PACKET_KIND_ANSWER, Caller: p.Caller, Service: p.Service, FlowId: p.FlowId, RequestId: p.RequestId,
			Attempt: 1, Parts: 1, Payload: make([]byte, answerBytes),
		})
	}
	elapsed := threadTime() - started
	bytes := reachableBytes() - before
	runtime.KeepAlive(engine)
	return bytes, elapsed
}
