package entry

import (
	"context"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
)

// emptyStore holds no records.
type emptyStore struct {
	citron.Store
}

func (emptyStore) NewestPage(context.Context, citron.Partition, string) (citron.NewestPage, error) {
	return citron.NewestPage{}, nil
}

func (emptyStore) Read(ctx context.Context, _ citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	<-ctx.Done()
	return citron.KeyedBatch{}, ctx.Err()
}

func TestClaimNeedsTheStateThatAHolderNeedsAndNoMore(t *testing.T) {
	known := []citron.WorkerEntry{}
	for name, c := range map[string]struct {
		unread  citron.Partition
		claimed []int32
		workers []citron.WorkerEntry
		want    bool
	}{
		"all is read":                         {citron.Partition{}, []int32{0}, known, true},
		"the list of workers is unread":       {citron.Partition{}, []int32{0}, nil, false},
		"the accepted jobs are unread":        {citron.Partition{Topic: jobsTopic}, []int32{0}, known, false},
		"a spare partition of jobs is unread": {citron.Partition{Topic: jobsTopic, Number: 1}, []int32{0}, known, true},
		"a claimed partition is unread":       {citron.Partition{Topic: progressTopic, Number: 1}, []int32{0, 1}, known, false},
		"a partition is unread, not claimed":  {citron.Partition{Topic: progressTopic}, []int32{1}, known, true},
		"nobody has claimed, nothing unread":  {citron.Partition{}, nil, known, true},
		"nobody has claimed, first unread":    {citron.Partition{Topic: progressTopic}, nil, known, false},
		"the claim names an unknown one":      {citron.Partition{}, []int32{0, 7}, known, true},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		follow := func(topic citron.Topic, n int) *tail.Tail {
			p := citron.Partition{Topic: topic, Number: n}
			f := &tail.Tail{Store: emptyStore{}, Partition: p, Timer: &timer.Manual{}, Apply: func(citron.KeyedBatch, bool) {}}
			if p == c.unread {
				return f
			}
			f.Run(ctx)
			if err := f.WaitFor(ctx, 0); err != nil {
				t.Fatal(err)
			}
			return f
		}
		d := &Daemon{cell: follow(cellPartition.Topic, 0), partitions: c.claimed, workerEntries: c.workers}
		for n := range 2 {
			d.jobs = append(d.jobs, follow(jobsTopic, n))
			d.progress = append(d.progress, follow(progressTopic, n))
		}
		if got := d.stateLoaded(); got != c.want {
			t.Errorf("%s: loaded %t, want %t", name, got, c.want)
		}
	}
}
