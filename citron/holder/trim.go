package holder

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
)

// The records of ended jobs are kept for callers, who only ask for the state. Without their payloads and steps, which are most of
// what the store holds, a daemon that starts has read them soon, also over a thin link.

// trimInterval is the time for which ended jobs are collected before their records are replaced.
const trimInterval = 500 * time.Millisecond

// trims are the ended jobs whose records are still complete.
type trims struct {
	mu      sync.Mutex
	waiting []citron.JobID
	// running is set while trimWaiting runs.
	running bool
}

// trimJobs replaces the records of ended jobs by trimmed ones. That is not repeated after a failure, since the
// complete records do no harm.
func (h *Holder) trimJobs(ended []citron.JobID) {
	if len(ended) == 0 || len(h.JobSources) == 0 {
		return
	}
	h.trims.mu.Lock()
	defer h.trims.mu.Unlock()
	h.trims.waiting = append(h.trims.waiting, ended...)
	if !h.trims.running {
		h.trims.running = true
		h.exchanges.Go(h.trimWaiting)
	}
}

func (h *Holder) trimWaiting(ctx context.Context) {
	timer.Pause(ctx, h.Timer, trimInterval)
	h.trims.mu.Lock()
	ids := h.trims.waiting
	h.trims.waiting, h.trims.running = nil, false
	h.trims.mu.Unlock()
	for n, t := range h.JobTails {
		records := h.trimmedRecords(n, ids)
		for len(records) > 0 && ctx.Err() == nil {
			size := prefixWithin(records, maxAppendBytes)
			if err := h.replaceRecords(ctx, t.Partition, records[:size]); err != nil {
				h.reportFailure("trim", err)
				break
			}
			records = records[size:]
		}
	}
}

// trimmedRecords returns trimmed records for the jobs whose records a partition holds.
func (h *Holder) trimmedRecords(partition int, ids []citron.JobID) (records []citron.KeyedRecord) {
	for _, id := range ids {
		e, known := h.View.Get(id)
		if !known || !h.JobSources[partition].HoldsJob(id) {
			continue
		}
		value, err := proto.Marshal(view.Trimmed(e.Spec))
		if err != nil {
			h.reportFailure("trim", err)
			continue
		}
		records = append(records, citron.KeyedRecord{Key: pool.JobKey + string(id), Value: value})
	}
	return records
}
