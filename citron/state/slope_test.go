package state

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/record"
)

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchmarkPerUnit reports the memory, the snapshot bytes and the time to apply records per unit of state, at several
// sizes of the state.
func benchmarkPerUnit(b *testing.B, sizes []int, build func(n int) citron.Fold) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var fold citron.Fold
			before := heapBytes()
			for range b.N {
				fold = build(n)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "heapB/unit")
			b.ReportMetric(float64(proto.Size(fold.Snapshot()))/float64(n), "logB/unit")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/unit")
			runtime.KeepAlive(fold)
		})
	}
}

func BenchmarkTaskSlope(b *testing.B) {
	benchmarkPerUnit(b, []int{1000, 10_000, 140_000}, func(n int) citron.Fold {
		jobs := &Jobs{}
		for k := range n / 10 {
			id := fmt.Sprintf("team-%d.request-%08d", k%160, k)
			spec := &record.JobSpec{Team: fmt.Sprintf("team-%d", k%160), Class: "batch", Tasks: 10, MilliCores: 1000, MemoryMb: 1000}
			jobs.Apply(0, &record.Entry{ID: id, Body: &record.Entry_JobAccepted{JobAccepted: &record.JobAccepted{JobID: id, Spec: spec}}})
			p := &record.Placement{}
			for t := range int32(10) {
				p.Tasks = append(p.Tasks, &record.TaskPlace{JobID: id, Task: t, Attempt: 1, Worker: "worker-00001", WorkerIncarnation: 1})
			}
			jobs.Apply(0, &record.Entry{Body: &record.Entry_Placement{Placement: p}})
		}
		return jobs
	})
}

func BenchmarkTemplateSlope(b *testing.B) {
	benchmarkPerUnit(b, []int{10, 40, 160}, func(n int) citron.Fold {
		templates := &Templates{}
		for k := range n * 20 {
			team := fmt.Sprintf("team-%d", k%n)
			text := "Team = \"" + team + "\"" + templateSource[len("Team = \"t\""):]
			templates.Apply(citron.Offset(k), &record.Entry{Body: &record.Entry_TemplateChange{
				TemplateChange: &record.TemplateChange{Team: team, BaseVersion: uint64(k / n), Source: text},
			}})
		}
		return templates
	})
}

func BenchmarkShardSlope(b *testing.B) {
	benchmarkPerUnit(b, []int{25, 250, 1000}, func(n int) citron.Fold {
		owners := &Owners{}
		for k := range n {
			c := &record.ShardChange{Shard: string(citron.CallShard(k)), Owner: &record.Member{VM: "entry-1", Incarnation: 1}, Standby: &record.Member{VM: "entry-2", Incarnation: 1}}
			owners.Apply(0, &record.Entry{Body: &record.Entry_Ownership{Ownership: &record.Ownership{Changes: []*record.ShardChange{c}}}})
		}
		return owners
	})
}

func BenchmarkIntentSlope(b *testing.B) {
	benchmarkPerUnit(b, []int{1000, 10_000, 100_000}, func(n int) citron.Fold {
		calls := &Calls{}
		for k := range n {
			id := fmt.Sprintf("intent-%032d", k)
			calls.Apply(0, &record.Entry{ID: id, Body: &record.Entry_Intent{Intent: &record.Intent{Team: "team-1", Class: "confirmation", RequestID: fmt.Sprintf("r-%032d", k)}}})
			calls.Apply(0, &record.Entry{Body: &record.Entry_CallOutcome{CallOutcome: &record.CallOutcome{IntentID: id, Team: "team-1", RequestID: fmt.Sprintf("r-%032d", k), Outcome: record.Outcome_OUTCOME_DONE, Status: 200, Body: make([]byte, 200)}}})
		}
		return calls
	})
}
