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
	trackedFlowCount   = 200_000
	flowsPerMessage    = 200
	requestRecordCount = 20_000
	// answerPayloadBytes is the payload of a small answer.
	answerPayloadBytes = 64
)

// printMemoryPerEntry prints the memory and processor time of one tracked flow
// and of one request record.
func (s *Slopes) printMemoryPerEntry() {
	bytes, elapsed := trackedFlowCost()
	fmt.Fprintf(s.Out, "kind=memory subject=exception entries=%d bytes_per_entry=%.1f processor_ns_per_entry=%d\n",
		trackedFlowCount, bytes/trackedFlowCount, elapsed.Nanoseconds()/trackedFlowCount)
	bytes, elapsed = requestRecordCost()
	fmt.Fprintf(s.Out, "kind=memory subject=request_record entries=%d bytes_per_entry=%.1f processor_ns_per_entry=%d\n",
		requestRecordCount, bytes/requestRecordCount, elapsed.Nanoseconds()/requestRecordCount)
}

// trackedFlowCost returns the bytes and the processor time of a tracker that
// records trackedFlowCount new flows from the messages of another instance, as a
// backup tracker does.
func trackedFlowCost() (float64, time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	tracker := placement.NewTracker(placement.Config{MaxTrackedFlows: 2 * trackedFlowCount}, "instance-1")
	before, started := reachableHeapBytes(), threadProcessorTime()
	for n := range trackedFlowCount / flowsPerMessage {
		var entries []byte
		for range flowsPerMessage {
			var fingerprint [8]byte
			binary.LittleEndian.PutUint64(fingerprint[:], rng.Uint64())
			entries = append(entries, fingerprint[:6]...)
		}
		tracker.HandleBirth(virtualStart, "instance-2", &pb.Birth{Sequence: uint64(n + 1), Groups: []*pb.FlowGroup{{
			Service: "team-00/service-000", Change: 1, Upstream: "u0001", Entries: entries,
		}}})
	}
	elapsed := threadProcessorTime() - started
	bytes := reachableHeapBytes() - before
	runtime.KeepAlive(tracker)
	return bytes, elapsed
}

// requestRecordCost returns the bytes and the processor time of an engine that
// decides requestRecordCount requests that must not run twice, and handles their
// answers.
func requestRecordCost() (float64, time.Duration) {
	engine := request.New(request.Config{ReplyTo: "127.1.0.1:7203", MaxRecords: 2 * requestRecordCount}, "instance-1", rand.New(rand.NewPCG(1, 1)))
	route := request.Route{
		Team: "team-00", Service: "team-00/service-000", MaxTimeout: 5 * time.Second, HoldsSlot: true,
		Term: request.LeaseTerm{Start: virtualStart.Add(-time.Hour), Until: virtualStart.Add(6 * time.Second), Clean: true},
	}
	before, started := reachableHeapBytes(), threadProcessorTime()
	for n := range requestRecordCount {
		p := &pb.Packet{
			Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: "127.0.0.1:" + strconv.Itoa(1024+n%60_000), Service: "127.2.0.1:80",
			FlowId: uint64(n + 1), RequestId: uint64(n + 1), DeadlineUnixMs: virtualStart.Add(4 * time.Second).UnixMilli(),
		}
		engine.HandleRequest(virtualStart, p, route)
		engine.HandleAnswer(virtualStart, &pb.Packet{
			Kind: pb.PacketKind_PACKET_KIND_ANSWER, Caller: p.Caller, Service: p.Service, FlowId: p.FlowId, RequestId: p.RequestId,
			Attempt: 1, Parts: 1, Payload: make([]byte, answerPayloadBytes),
		})
	}
	elapsed := threadProcessorTime() - started
	bytes := reachableHeapBytes() - before
	runtime.KeepAlive(engine)
	return bytes, elapsed
}
