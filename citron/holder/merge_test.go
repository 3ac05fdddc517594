package holder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// This file simulates holders on a store whose partitions become unresponsive, lose answers and carry out appends late.
// After each change of holder it checks that the claimed partitions contain every acknowledged record.

// mutant selects a rule of the merge that a simulation omits.
type mutant int

const (
	noMutant mutant = iota
	// narrowsTooEarly narrows the claim to a partition before everything has been recorded in it.
	narrowsTooEarly
	// usesClosed continues to use partitions that the claim may no longer name.
	usesClosed
	// skipsExtend reuses a partition that the claim still seems to name without extending the claim first.
	skipsExtend
	// forgetsSequence reopens a partition without its sequence number and unanswered append.
	forgetsSequence
)

const (
	simPartitions = 3
	simSteps      = 400
	// stepTime is the simulated time between two steps.
	stepTime = 40 * time.Millisecond
)

// storedAppend is an append that the store has carried out.
type storedAppend struct {
	epoch    citron.Epoch
	sequence int64
	end      citron.Offset
}

// partition is one partition of the simulated store.
type partition struct {
	records  map[string]*work.Progress
	end      citron.Offset
	epoch    citron.Epoch
	sequence int64
	// recent are the last appends, whose repeats get the same answer again.
	recent            []storedAppend
	unresponsiveUntil time.Duration
	losesAnswersUntil time.Duration
	// delayed are unanswered appends that are carried out at the times in delayedAt.
	delayed   []func()
	delayedAt []time.Duration
}

// simTimer ends pauses at once and longer waits never, so that no append is repeated while it is carried out.
type simTimer struct{ *timer.Immediate }

// After delivers at once for the length of a pause, otherwise never.
func (s simTimer) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	if d > appendRetry {
		return nil, func() {}
	}
	return s.Immediate.After(d)
}

// simStore is a simulated store with the pool's claim.
type simStore struct {
	citron.Store
	rng   *rand.Rand
	clock *timer.Immediate

	mu         sync.Mutex
	partitions [simPartitions]partition
	// epoch and claim are the newest epoch and the partitions that the claim names; offset counts the changes of both.
	epoch  citron.Epoch
	claim  []int
	offset int
	// lateClaims are unanswered changes of the claim that may still be carried out.
	lateClaims []func()
	// acked is the newest acknowledged record of each job.
	acked map[string]*work.Progress
}

// Append carries out an append at once, late or never, and may lose its answer.
func (s *simStore) Append(_ context.Context, p citron.Partition, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.partitions[p.Number]
	now := s.clock.Now().Boot
	s.clock.Advance(time.Millisecond)
	q.deliver(now)
	if now < q.unresponsiveUntil {
		s.clock.Advance(400 * time.Millisecond)
		if s.rng.IntN(2) == 0 {
			q.delayed = append(q.delayed, func() { _, _ = q.accept(records, c) })
			q.delayedAt = append(q.delayedAt, now+time.Duration(s.rng.IntN(6000))*time.Millisecond)
		}
		return 0, citron.ErrUnavailable
	}
	end, err := q.accept(records, c)
	if now < q.losesAnswersUntil && s.rng.IntN(3) == 0 {
		return 0, citron.ErrUnavailable
	}
	return end, err
}

// deliver carries out the delayed appends that are due.
func (q *partition) deliver(now time.Duration) {
	for n := 0; n < len(q.delayed); {
		if q.delayedAt[n] > now {
			n++
			continue
		}
		q.delayed[n]()
		q.delayed = slices.Delete(q.delayed, n, n+1)
		q.delayedAt = slices.Delete(q.delayedAt, n, n+1)
	}
}

// accept appends under the rules of the platform's store for epochs and sequence numbers.
func (q *partition) accept(records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	if c.Epoch < q.epoch {
		return 0, citron.ErrFenced
	}
	for _, r := range q.recent {
		if r.epoch == c.Epoch && r.sequence == c.Sequence {
			return r.end, nil
		}
	}
	if c.Epoch == q.epoch && c.Sequence != q.sequence {
		return 0, &citron.SequenceError{Expected: q.sequence}
	}
	q.epoch, q.sequence = c.Epoch, c.Sequence+1
	for _, r := range records {
		var progress work.Progress
		if err := proto.Unmarshal(r.Value, &progress); err != nil {
			panic(err)
		}
		q.records[r.Key] = &progress
		q.end++
	}
	q.recent = append(q.recent, storedAppend{c.Epoch, c.Sequence, q.end})
	q.recent = q.recent[max(len(q.recent)-5, 0):]
	return q.end, nil
}

// Read answers unless the partition is unresponsive.
func (s *simStore) Read(_ context.Context, p citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now().Boot < s.partitions[p.Number].unresponsiveUntil {
		return citron.KeyedBatch{}, citron.ErrUnavailable
	}
	return citron.KeyedBatch{}, nil
}

// storeClaim changes the claim's partitions if the claim is still unchanged when that is carried out. The answer may be lost and the
// change carried out late.
func (s *simStore) storeClaim(epoch citron.Epoch, partitions func(claimed []int) []int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, next := s.offset, partitions(s.claim)
	change := func() {
		if s.offset == at && s.epoch == epoch {
			s.offset++
			s.claim = next
		}
	}
	if s.rng.IntN(3) == 0 {
		s.lateClaims = append(s.lateClaims, change)
		return citron.ErrUnavailable
	}
	change()
	if s.epoch != epoch {
		return citron.ErrFenced
	}
	if !slices.Equal(s.claim, next) {
		return citron.ErrConflict
	}
	return nil
}

// newer reports whether a is b or replaces it.
func newer(a, b *work.Progress) bool {
	return b == nil || a.GetEpoch() > b.GetEpoch() || a.GetEpoch() == b.GetEpoch() && a.GetNumber() >= b.GetNumber()
}

// readClaimed returns the newest record of each job in the claimed partitions.
func (s *simStore) readClaimed() map[string]*work.Progress {
	found := map[string]*work.Progress{}
	for _, n := range s.claim {
		for key, r := range s.partitions[n].records {
			if newer(r, found[key]) {
				found[key] = r
			}
		}
	}
	return found
}

// simulation is one simulation with several changes of holder.
type simulation struct {
	*simStore
	// rng draws the course of the simulation, simStore.rng the answers of the store.
	rng *rand.Rand
	// slow is set if the store is slow at times.
	slow       bool
	mutant     mutant
	holder     *Holder
	jobs       []*work.Job
	narrowings int
}

// takeOver replaces the holder by one of a new epoch. Delayed appends of the former holder are still carried out until
// the store fences them. It returns a description of an acknowledged record that the new holder does not find.
func (p *simulation) takeOver() (problem string) {
	p.epoch++
	p.offset++
	h := &Holder{
		Store: p, Timer: simTimer{p.clock}, Producer: "p", Pool: pool.New(pool.Options{}, p.epoch, &advice.Balancer{}), writes: newWrites(simPartitions),
		Published: func(citron.KeyedRecord) {}, polls: map[citron.Worker]*poll{}, replan: make(chan struct{}, 1),
	}
	for n := range simPartitions {
		h.ProgressTails = append(h.ProgressTails, &tail.Tail{Partition: citron.Partition{Number: n}, Timer: p.clock})
	}
	h.maxClaimed = len(p.claim)
	for _, n := range p.claim {
		l := &partitionLog{tail: h.ProgressTails[n]}
		h.openLogs = append(h.openLogs, l)
		for {
			if _, err := h.appendOnce(context.Background(), l, nil); err == nil {
				break
			}
			p.clock.Advance(appendRetry)
		}
	}
	found := p.readClaimed()
	for key, r := range p.acked {
		// Beside others, records may be stored whose storing the holder has not been told of.
		if !p.slow && !newer(r, found[key]) || found[key] == nil || !newer(found[key], r) {
			return fmt.Sprintf("epoch %d: newest record found of %s is %v, but %v was acknowledged", p.epoch, key, found[key], r)
		}
	}
	for _, j := range p.jobs {
		h.Pool.Accept(p.clock.Now(), j, found[pool.ProgressKey+j.GetID()])
	}
	h.Pool.MarkAllJobsKnown()
	epoch := p.epoch
	h.ExtendClaim = func(_ context.Context, n int) error { return p.extend(epoch, n) }
	h.NarrowClaim = func(_ context.Context, n int) error {
		p.narrowings++
		return p.storeClaim(epoch, func([]int) []int { return []int{n} })
	}
	p.holder = h
	return ""
}

// extend adds partition n to the claim.
func (p *simulation) extend(epoch citron.Epoch, n int) error {
	p.mu.Lock()
	claimed := slices.Contains(p.claim, n)
	p.mu.Unlock()
	if claimed && p.mutant == skipsExtend {
		return nil
	}
	return p.storeClaim(epoch, func(partitions []int) []int {
		if slices.Contains(partitions, n) {
			return partitions
		}
		return append(slices.Clone(partitions), n)
	})
}

// runPlan handles the records of one plan like Holder.runPlan.
func (p *simulation) runPlan() error {
	h := p.holder
	e, err := h.Pool.Plan(p.clock.Now())
	if err != nil {
		return err
	}
	if len(e.Records) > 0 {
		if err := h.append(context.Background(), e.Records); err != nil {
			return err
		}
		if err := p.acknowledge(e.Records); err != nil {
			return err
		}
	}
	p.applyMutant(h)
	before := slices.Clone(h.openLogs)
	h.consolidate(context.Background(), e)
	if p.mutant == usesClosed {
		h.openLogs, h.closedLogs = before, nil
	}
	return nil
}

// acknowledge notes records whose storing has been confirmed to the holder.
func (p *simulation) acknowledge(records []citron.KeyedRecord) error {
	for _, k := range records {
		var r work.Progress
		if err := proto.Unmarshal(k.Value, &r); err != nil {
			return err
		}
		if newer(&r, p.acked[k.Key]) {
			p.acked[k.Key] = &r
		}
	}
	return nil
}

// runSlowPlan is like runPlan with a store that is slow: plans do not wait for each other, and the holder is told of the answers
// later, in whatever order they come.
func (p *simulation) runSlowPlan() error {
	h := p.holder
	h.appendLatency.Store(int64(slowWrite))
	if p.rng.IntN(3) == 0 {
		p.awaitWrites()
	}
	for {
		select {
		case w := <-h.writes.ended:
			if err := p.applyWrite(w); err != nil {
				return err
			}
			continue
		case l := <-h.writes.opened:
			h.addLog(l)
			continue
		default:
		}
		break
	}
	if len(h.writes.queue) > 4 {
		return nil
	}
	e, err := h.Pool.Plan(p.clock.Now())
	if err != nil {
		return err
	}
	h.writes.queue = append(h.writes.queue, e)
	return h.sendQueue(context.Background())
}

// applyWrite passes the end of a write to the holder.
func (p *simulation) applyWrite(w *write) error {
	list := slices.Clone(p.holder.writes.list)
	if err := p.holder.writeEnded(context.Background(), w); err != nil {
		return err
	}
	for _, w := range list {
		if w.done {
			if err := p.acknowledge(w.records); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitWrites waits until every write under way has ended at the store.
func (p *simulation) awaitWrites() { <-p.holder.exchanges.Idle() }

// settleWrites applies all writes under way before a plan that waits for the store.
func (p *simulation) settleWrites() error {
	h := p.holder
	for len(h.writes.list) > 0 || h.writes.opening {
		select {
		case w := <-h.writes.ended:
			if err := p.applyWrite(w); err != nil {
				return err
			}
		case l := <-h.writes.opened:
			h.addLog(l)
		}
	}
	return nil
}

// applyMutant changes the state of the holder for the mutants that need it.
func (p *simulation) applyMutant(h *Holder) {
	switch p.mutant {
	case narrowsTooEarly:
		h.merge.rewriting, h.merge.rewritten = true, true
	case forgetsSequence:
		for _, l := range h.closedLogs {
			*l = partitionLog{tail: l.tail, sequenceKnown: true}
		}
	default:
	}
}

// simulate runs the simulation of one seed until a problem is found.
func simulate(seed uint64, m mutant) (p *simulation, problem string) {
	return simulateSlow(seed, m, false)
}

// simulateSlow is like simulate; if slow is set, the store is slow at times.
func simulateSlow(seed uint64, m mutant, slow bool) (p *simulation, problem string) {
	slowNow := slow
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	p = &simulation{mutant: m, slow: slow, rng: rand.New(rand.NewPCG(seed, 2)), simStore: &simStore{rng: rand.New(rand.NewPCG(seed, 1)), clock: clock, claim: []int{0}, acked: map[string]*work.Progress{}}}
	for n := range p.partitions {
		p.partitions[n].records = map[string]*work.Progress{}
	}
	if problem = p.takeOver(); problem != "" {
		return p, problem
	}
	for range simSteps {
		clock.Advance(stepTime)
		p.injectFaults()
		p.changeJobs()
		if slow && p.rng.IntN(50) == 0 {
			slowNow = !slowNow
		}
		var err error
		if slowNow {
			err = p.runSlowPlan()
		} else if err = p.settleWrites(); err == nil {
			err = p.runPlan()
		}
		if err != nil {
			return p, fmt.Sprintf("run plan: %v", err)
		}
		if p.rng.IntN(60) == 0 {
			if slow {
				p.awaitWrites()
			}
			if problem = p.takeOver(); problem != "" {
				return p, problem
			}
		}
	}
	return p, ""
}

// injectFaults makes partitions unresponsive or lossy and carries out late changes of the claim.
func (p *simulation) injectFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now().Boot
	q := &p.partitions[p.rng.IntN(simPartitions)]
	switch p.rng.IntN(20) {
	case 0, 1:
		q.unresponsiveUntil = now + time.Duration(p.rng.IntN(4000))*time.Millisecond
	case 2:
		q.losesAnswersUntil = now + time.Duration(p.rng.IntN(4000))*time.Millisecond
	}
	for len(p.lateClaims) > 0 && p.rng.IntN(3) == 0 {
		p.lateClaims[0]()
		p.lateClaims = p.lateClaims[1:]
	}
}

// changeJobs adds and cancels jobs.
func (p *simulation) changeJobs() {
	now := p.clock.Now()
	if p.rng.IntN(4) == 0 {
		j := &work.Job{
			ID: fmt.Sprintf("j%03d", len(p.jobs)), AcceptedMs: now.Wall.UnixMilli(), Terms: &work.Terms{},
			Steps:    []*work.Step{{Tasks: 1}},
			Schedule: &work.Schedule{FirstMs: now.Wall.UnixMilli(), IntervalMs: 500, Repeats: 3},
		}
		p.jobs = append(p.jobs, j)
		p.holder.Pool.Accept(now, j, nil)
	}
	if len(p.jobs) > 0 && p.rng.IntN(6) == 0 {
		p.holder.Pool.Cancel(now, citron.JobID(p.jobs[p.rng.IntN(len(p.jobs))].GetID()))
	}
}

const (
	simSeeds = 150
	// mutantSeeds is the number of seeds within which each mutant must be detected.
	mutantSeeds = 1500
)

func TestClaimedPartitionsHoldEverythingAcknowledged(t *testing.T) {
	narrowed := 0
	for seed := range uint64(simSeeds) {
		p, problem := simulate(seed, noMutant)
		if problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		narrowed += p.narrowings
	}
	if narrowed < simSeeds {
		t.Errorf("the claim was narrowed %d times in %d simulations, want at least one per simulation", narrowed, simSeeds)
	}
}

// Guards against records that a later holder does not find since they were stored beside others in a partition of their own.
func TestClaimedPartitionsHoldEverythingStoredBesideOtherRecords(t *testing.T) {
	for seed := range uint64(simSeeds) {
		if _, problem := simulateSlow(seed, noMutant, true); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
	}
}

func TestPartitionSimulationDetectsEachMutant(t *testing.T) {
	for m, name := range map[mutant]string{
		narrowsTooEarly: "narrows too early", usesClosed: "uses closed partitions", skipsExtend: "skips extending the claim", forgetsSequence: "forgets sequence numbers",
	} {
		found := false
		for seed := uint64(0); seed < mutantSeeds && !found; seed++ {
			_, problem := simulate(seed, m)
			found = problem != ""
		}
		if !found {
			t.Errorf("mutant %q: no problem found in %d simulations, want at least one", name, mutantSeeds)
		}
	}
}
