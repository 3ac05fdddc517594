package entry

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// Names of the samples that processor reads.
const (
	schedulingDelays = "/sched/latencies:seconds"
	lockWaits        = "/sync/mutex/wait/total:seconds"
)

// processorUse is what this process has needed of its processor for a time.
type processorUse struct {
	// Used is the processor time.
	Used time.Duration
	// Delay is the time that nine of ten goroutines waited at most for the processor, LockWait the sum of all waits for locks.
	Delay, LockWait time.Duration
}

// processor measures what this process needs of its processor. The zero value works.
type processor struct {
	used, lockWait time.Duration
	delays         []uint64
}

// next returns the use since the last call.
func (p *processor) next() (use processorUse) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		use.Used, p.used = used-p.used, used
	}
	samples := []metrics.Sample{{Name: schedulingDelays}, {Name: lockWaits}}
	metrics.Read(samples)
	if samples[1].Value.Kind() == metrics.KindFloat64 {
		wait := time.Duration(samples[1].Value.Float64() * float64(time.Second))
		use.LockWait, p.lockWait = wait-p.lockWait, wait
	}
	if samples[0].Value.Kind() == metrics.KindFloat64Histogram {
		h := samples[0].Value.Float64Histogram()
		use.Delay = quantile(h, p.delays, 0.9)
		p.delays = append(p.delays[:0], h.Counts...)
	}
	return use
}

// quantile returns an upper bound of a part of what was added to a histogram since it had the former counts.
func quantile(h *metrics.Float64Histogram, former []uint64, part float64) time.Duration {
	added := make([]uint64, len(h.Counts))
	total := uint64(0)
	for n, count := range h.Counts {
		added[n] = count
		if n < len(former) {
			added[n] -= former[n]
		}
		total += added[n]
	}
	below := uint64(0)
	for n, count := range added {
		if below += count; below > 0 && float64(below) >= part*float64(total) {
			return time.Duration(math.Min(h.Buckets[n+1], time.Minute.Seconds()) * float64(time.Second))
		}
	}
	return 0
}
