package holder

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
)

// RestoreJob stores a job's record again after another team's record with the same id. A daemon that starts reads only the
// newest record of each key and would take the job for the other team's. Ended jobs are left alone: they never run, and a
// record that is stored after their removal would bring them back.
func (h *Holder) RestoreJob(id citron.JobID) {
	if len(h.JobSources) == 0 {
		return
	}
	h.exchanges.Go(func(ctx context.Context) {
		for n, t := range h.JobTails {
			e, known := h.View.Get(id)
			if !known || e.Spec.GetPayloadOmitted() || pool.IsTerminal(e.State()) || !h.JobSources[n].HoldsJob(id) {
				continue
			}
			value, err := proto.Marshal(e.Spec)
			if err == nil {
				err = h.replaceRecords(ctx, t.Partition, []citron.KeyedRecord{{Key: pool.JobKey + string(id), Value: value}})
			}
			if err != nil {
				h.reportFailure("restore", err)
			}
		}
	})
}
