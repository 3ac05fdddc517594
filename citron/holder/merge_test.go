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

// This file plays holders over a store whose partitions fall silent, lose answers and carry out appends late. After
// each change of holder it checks that the partitions which the claim names hold all that was acknowledged.

// mutant leaves one rule of the merge out.
type mutant int

const (
	sound mutant = iota
	// narrowsAtOnce names one partition before everything has been recorded in it.
	narrowsAtOnce
	// keepsClosed goes on with partitions that the claim may no longer name.
	keepsClosed
	// trustsOldClaim does not state the claim anew before a partition is used again that it names already.
	trustsOldClaim
	// forgetsNumbers opens a partition again as if it had not been used.
	forgetsNumbers
)

const (
	playPartitions = 3
	playSteps      = 400
	stepTime       = 40 * time.Millisecond
)

// numbered is an append that the store has taken.
type numbered struct {
	epoch    citron.Epoch
	sequence int64
	end      citron.Offset
}

// partition is one partition of the store in the play.
type partition struct {
	records   map[string]*work.Progress
	end       citron.Offset
	epoch     citron.Epoch
	sequence  int64
	recent    []numbered
	silent    time.Duration
	lossy     time.Duration
	delayed   []func()
	delayedAt []time.Duration
}

// playStore is the store and the pool's claim.
type playStore struct {
	citron.Store
	rng   *rand.Rand
	clock *timer.Instant

	mu     sync.Mutex
	parts  [playPartitions]partition
	epoch  citron.Epoch
	claim  []int
	offset int
	// late are claims on their way.
	late []func()
	// acked is the newest acknowledged record of each job.
	acked map[string]*work.Progress
}

// Append takes an append, loses its answer, carries it out later or not at all.
func (s *playStore) Append(_ context.Context, p citron.Partition, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.parts[p.Number]
	now := s.clock.Now().Boot
	s.clock.Advance(time.Millisecond)
	q.deliver(now)
	if now < q.silent {
		s.clock.Advance(400 * time.Millisecond)
		if s.rng.IntN(2) == 0 {
			q.delayed = append(q.delayed, func() { _, _ = q.take(records, c) })
			q.delayedAt = append(q.delayedAt, now+time.Duration(s.rng.IntN(6000))*time.Millisecond)
		}
		return 0, citron.ErrUnavailable
	}
	end, err := q.take(records, c)
	if now < q.lossy && s.rng.IntN(3) == 0 {
		return 0, citron.ErrUnavailable
	}
	return end, err
}

// deliver carries out the appends that were delayed until now.
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

// take appends as the store does.
func (q *partition) take(records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
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
	q.recent = append(q.recent, numbered{c.Epoch, c.Sequence, q.end})
	q.recent = q.recent[max(len(q.recent)-5, 0):]
	return q.end, nil
}

// Read answers unless the partition is silent.
func (s *playStore) Read(_ context.Context, p citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now().Boot < s.parts[p.Number].silent {
		return citron.KeyedBatch{}, citron.ErrUnavailable
	}
	return citron.KeyedBatch{}, nil
}

// state changes the claim's partitions if it has not changed since an offset; its answer may be lost, and it may land
// late.
func (s *playStore) state(epoch citron.Epoch, at int, partitions []int) error {
	land := func() {
		if s.offset == at && s.epoch == epoch {
			s.offset++
			s.claim = partitions
		}
	}
	if s.rng.IntN(3) == 0 {
		s.late = append(s.late, land)
		return citron.ErrUnavailable
	}
	land()
	if s.epoch != epoch {
		return citron.ErrFenced
	}
	if !slices.Equal(s.claim, partitions) {
		return citron.ErrConflict
	}
	return nil
}

func newer(a, b *work.Progress) bool {
	return b == nil || a.GetEpoch() > b.GetEpoch() || a.GetEpoch() == b.GetEpoch() && a.GetNumber() >= b.GetNumber()
}

// read returns the newest record of each job in the partitions that the claim names.
func (s *playStore) read() map[string]*work.Progress {
	found := map[string]*work.Progress{}
	for _, n := range s.claim {
		for key, r := range s.parts[n].records {
			if newer(r, found[key]) {
				found[key] = r
			}
		}
	}
	return found
}

// play is one run with changes of holder.
type play struct {
	*playStore
	mutant mutant
	holder *Holder
	jobs   []*work.Job
	moves  int
}

// takeOver begins a new epoch; the former holder goes on until the store refuses it. It returns what is missing.
func (p *play) takeOver() (problem string) {
	p.epoch++
	p.offset++
	h := &Holder{Store: p, Timer: p.clock, Producer: "p", Pool: pool.New(pool.Options{}, p.epoch, &advice.Balancer{})}
	for n := range playPartitions {
		h.ProgressTails = append(h.ProgressTails, &tail.Tail{Partition: citron.Partition{Number: n}, Timer: p.clock})
	}
	h.named = len(p.claim)
	for _, n := range p.claim {
		l := &ledger{tail: h.ProgressTails[n]}
		h.ledger = append(h.ledger, l)
		for {
			if _, err := h.send(context.Background(), l, nil); err == nil {
				break
			}
			p.clock.Advance(appendRetry)
		}
	}
	found := p.read()
	for key, r := range p.acked {
		if !newer(r, found[key]) || found[key] == nil || !newer(found[key], r) {
			return fmt.Sprintf("epoch %d: %s is known as of %v, acknowledged was %v", p.epoch, key, found[key], r)
		}
	}
	for _, j := range p.jobs {
		h.Pool.Accept(p.clock.Now(), j, found[pool.ProgressKey+j.GetID()])
	}
	h.Pool.MarkAllJobsKnown()
	epoch := p.epoch
	h.ExtendClaim = func(_ context.Context, n int) error { return p.extend(epoch, n) }
	h.NarrowClaim = func(_ context.Context, n int) error {
		p.moves++
		return p.state(epoch, p.offset, []int{n})
	}
	p.holder = h
	return ""
}

func (p *play) extend(epoch citron.Epoch, n int) error {
	named := slices.Contains(p.claim, n)
	if named && p.mutant == trustsOldClaim {
		return nil
	}
	partitions := slices.Clone(p.claim)
	if !named {
		partitions = append(partitions, n)
	}
	return p.state(epoch, p.offset, partitions)
}

// round does what a round of the holder does with its records.
func (p *play) round() error {
	h := p.holder
	e, err := h.Pool.Plan(p.clock.Now())
	if err != nil {
		return err
	}
	if len(e.Records) > 0 {
		if err := h.append(context.Background(), e.Records); err != nil {
			return err
		}
		for _, k := range e.Records {
			var r work.Progress
			if err := proto.Unmarshal(k.Value, &r); err != nil {
				return err
			}
			p.acked[k.Key] = &r
		}
	}
	p.spoil(h)
	kept := slices.Clone(h.ledger)
	h.consolidate(context.Background(), e)
	if p.mutant == keepsClosed {
		h.ledger, h.closed = kept, nil
	}
	return nil
}

// spoil breaks a rule of the merge.
func (p *play) spoil(h *Holder) {
	switch p.mutant {
	case narrowsAtOnce:
		h.merge.begun, h.merge.whole = true, true
	case forgetsNumbers:
		for _, l := range h.closed {
			*l = ledger{tail: l.tail, numbered: true}
		}
	default:
	}
}

// run plays one seed.
func run(seed uint64, m mutant) (p *play, problem string) {
	clock := &timer.Instant{}
	clock.Advance(time.Hour)
	p = &play{mutant: m, playStore: &playStore{rng: rand.New(rand.NewPCG(seed, 1)), clock: clock, claim: []int{0}, acked: map[string]*work.Progress{}}}
	for n := range p.parts {
		p.parts[n].records = map[string]*work.Progress{}
	}
	if problem = p.takeOver(); problem != "" {
		return p, problem
	}
	for range playSteps {
		clock.Advance(stepTime)
		p.trouble()
		p.change()
		err := p.round()
		if err != nil {
			return p, fmt.Sprintf("round: %v", err)
		}
		if p.rng.IntN(60) == 0 {
			if problem = p.takeOver(); problem != "" {
				return p, problem
			}
		}
	}
	return p, ""
}

func (p *play) trouble() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now().Boot
	q := &p.parts[p.rng.IntN(playPartitions)]
	switch p.rng.IntN(20) {
	case 0, 1:
		q.silent = now + time.Duration(p.rng.IntN(4000))*time.Millisecond
	case 2:
		q.lossy = now + time.Duration(p.rng.IntN(4000))*time.Millisecond
	}
	for len(p.late) > 0 && p.rng.IntN(3) == 0 {
		p.late[0]()
		p.late = p.late[1:]
	}
}

// change has jobs come and be cancelled.
func (p *play) change() {
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
	playSeeds = 150
	// mutantSeeds bounds the search for a play that shows a left-out rule.
	mutantSeeds = 1500
)

func TestClaimedPartitionsHoldEverythingAcknowledged(t *testing.T) {
	narrowed := 0
	for seed := range uint64(playSeeds) {
		p, problem := run(seed, sound)
		if problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		narrowed += p.moves
	}
	if narrowed < playSeeds {
		t.Errorf("the claim was narrowed %d times in %d plays; the plays test too little", narrowed, playSeeds)
	}
}

func TestPlayOfPartitionsFindsEachLeftOutRule(t *testing.T) {
	for m, name := range map[mutant]string{
		narrowsAtOnce: "narrows at once", keepsClosed: "keeps closed partitions", trustsOldClaim: "trusts the old claim", forgetsNumbers: "forgets numbers",
	} {
		found := false
		for seed := uint64(0); seed < mutantSeeds && !found; seed++ {
			_, problem := run(seed, m)
			found = problem != ""
		}
		if !found {
			t.Errorf("%s: not found in %d plays", name, mutantSeeds)
		}
	}
}
