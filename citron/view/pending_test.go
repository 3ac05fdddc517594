package view

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// pendingSeeds is the number of seeds of each randomized test, historyJobs the number of jobs in one history.
	pendingSeeds = 300
	historyJobs  = 24
)

// recount counts the pending jobs of each queue from the entries of a view.
func recount(v *View) map[citron.QueueName]int {
	counted := map[citron.QueueName]int{}
	for n := range v.shards {
		for _, e := range v.shards[n].copyJobs() {
			if e.pending() {
				counted[citron.QueueName(e.Spec.GetQueue())]++
			}
		}
	}
	return counted
}

// history returns records of many jobs in several partitions, some of them twice, and what waits once all are applied.
func history(t *testing.T, rng *rand.Rand, removals bool) (partitions [][]citron.KeyedRecord, want map[citron.QueueName]int) {
	t.Helper()
	partitions, want = make([][]citron.KeyedRecord, 6), map[citron.QueueName]int{}
	add := func(r citron.KeyedRecord) {
		for range 1 + rng.IntN(2) {
			n := rng.IntN(len(partitions))
			partitions[n] = append(partitions[n], r)
		}
	}
	for n := range historyJobs {
		id := fmt.Sprintf("j%02d", n)
		spec := &work.Job{ID: id, Queue: fmt.Sprintf("q%d", rng.IntN(3))}
		if rng.IntN(6) == 0 {
			spec.Schedule = &work.Schedule{Repeats: 2}
		}
		add(newRecord(t, pool.JobKey+id, spec))
		waits := spec.GetSchedule() == nil
		if rng.IntN(6) == 0 {
			add(citron.KeyedRecord{Key: pool.CancelKey + id, Value: []byte{1}})
			waits = false
		}
		state, epoch, number := work.State_STATE_QUEUED, uint64(1), uint64(0)
		for range rng.IntN(5) {
			number++
			if rng.IntN(3) == 0 {
				epoch, number = epoch+1, uint64(rng.IntN(3))
			}
			if state == work.State_STATE_QUEUED && rng.IntN(3) == 0 {
				state = work.State_STATE_RUNNING
			} else if rng.IntN(4) == 0 {
				state = work.State_STATE_COMPLETED
			}
			add(newRecord(t, pool.ProgressKey+id, &work.Progress{JobID: id, State: state, Epoch: epoch, Number: number}))
		}
		if waits && state == work.State_STATE_QUEUED {
			want[citron.QueueName(spec.GetQueue())]++
		}
		if removals && rng.IntN(3) == 0 {
			for _, prefix := range []string{pool.JobKey, pool.CancelKey, pool.ProgressKey} {
				add(citron.KeyedRecord{Key: prefix + id})
			}
		}
	}
	for _, records := range partitions {
		rng.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	}
	return partitions, want
}

// comparePending compares the counts of a view with the wanted ones.
func comparePending(t *testing.T, v *View, want map[citron.QueueName]int, when string) {
	t.Helper()
	for n := range 3 {
		q := citron.QueueName(fmt.Sprintf("q%d", n))
		if got := v.Pending(q); got != want[q] {
			t.Fatalf("%s: %d jobs of %s wait, want %d", when, got, q, want[q])
		}
	}
}

func TestPendingEqualsARecountAfterEachRecord(t *testing.T) {
	for seed := range uint64(pendingSeeds) {
		rng := rand.New(rand.NewPCG(seed, 11))
		partitions, _ := history(t, rng, true)
		v := &View{}
		for step := 0; len(partitions) > 0; step++ {
			n := rng.IntN(len(partitions))
			if len(partitions[n]) == 0 {
				partitions = append(partitions[:n], partitions[n+1:]...)
				continue
			}
			apply(v, partitions[n][0])
			partitions[n] = partitions[n][1:]
			comparePending(t, v, recount(v), fmt.Sprintf("seed %d, step %d", seed, step))
		}
	}
}

func TestPendingEqualsARecountAfterConcurrentPartitions(t *testing.T) {
	for seed := range uint64(pendingSeeds) {
		partitions, _ := history(t, rand.New(rand.NewPCG(seed, 12)), true)
		v := &View{}
		var readers sync.WaitGroup
		for _, records := range partitions {
			// Each partition is read twice, as from the store and from the holder.
			for range 2 {
				readers.Go(func() { apply(v, records...) })
			}
		}
		readers.Wait()
		comparePending(t, v, recount(v), fmt.Sprintf("seed %d", seed))
	}
}

func TestPendingDoesNotDependOnTheOrderOfRecords(t *testing.T) {
	for seed := range uint64(pendingSeeds) {
		partitions, want := history(t, rand.New(rand.NewPCG(seed, 13)), false)
		v := &View{}
		var readers sync.WaitGroup
		for _, records := range partitions {
			readers.Go(func() { apply(v, records...) })
		}
		readers.Wait()
		comparePending(t, v, want, fmt.Sprintf("seed %d", seed))
	}
}
