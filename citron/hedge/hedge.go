// Package hedge decides where the copies of one append go and when: it has no I/O, no clock and no goroutines.
//
// It answers three kinds of load: a store that is some 60 times slower than usual during a burst, a store of which some
// partitions are silent, and a store that rejects everything. A copy is never given up for another one. With a slow store a
// timeout below its latency fails every append, and the copies that replace them make the store slower still.
package hedge

import (
	"slices"
	"time"
)

const (
	// minPatience is the shortest time for which a copy may stay unanswered before the next one is sent, some ten times the
	// usual latency of an append.
	minPatience = 150 * time.Millisecond
	// maxPatience is the longest such time: two thirds of the time that a caller waits, since more copies make a slow store slower.
	maxPatience = 2 * time.Second
	// patienceFactor is the ratio of the patience to the latest latency.
	patienceFactor = 3
	// QuickProbe is the answer time of a probe below which the store is not slow, so that an unanswered copy must have gone to
	// a silent partition. It is half of minPatience, so that a store above it is waited for.
	QuickProbe = minPatience / 2
	// relayAfter is the time without any answer after which the store counts as out of reach: the answer time of a probe of a
	// store that is 64 times slower than usual, with a margin of half.
	relayAfter = 600 * time.Millisecond
	// unreachableAfter is the time without any answer after which another daemon has had the time to append as well, so that the
	// store is out of reach for all.
	unreachableAfter = 2 * relayAfter
	// repeatAfter is the pause after which rejected copies are sent again while another one may have been stored.
	repeatAfter = 200 * time.Millisecond
)

// Patience returns for how long a copy may stay unanswered before the next one is sent, given the latency of the last
// answered append.
func Patience(latency time.Duration) time.Duration {
	return min(max(patienceFactor*latency, minPatience), maxPatience)
}

// Target is the number of a partition, or Relay.
type Target int

// Relay stands for another daemon that appends to whatever partition answers it.
const Relay Target = -1

// Race is the state of one append.
type Race struct {
	// Targets are where a copy may go, in order of preference.
	Targets []Target
	// Patience is the time after which the next copy is sent.
	Patience time.Duration

	copies map[Target]state
	// began is when the first copy was sent, sentAt when the last one was, failedAt when the last one failed.
	began, sentAt, failedAt time.Duration
	// last is the target of the last copy.
	last Target
	// answering are the targets whose probes have been answered. Fast is set if one was answered quickly, quick until the next copy
	// is sent.
	answering   []Target
	fast, quick bool
	probed      bool
	// answered is set once the store has answered anything.
	answered bool
	// inDoubt is set once a copy may have been stored without an answer.
	inDoubt bool
}

// state is that of the copy at one target.
type state int

const (
	untried state = iota
	sent
	rejected
	failed
)

// Move is what to do next.
type Move struct {
	// Send are the targets of the next copies, Probe those to be probed with a read.
	Send, Probe []Target
	// Wait is the time until the next move unless there is news; it is at least a millisecond.
	Wait time.Duration
	// Rejected is set if every target has rejected its copy, so that the append has no effect, now or later.
	Rejected bool
}

// Next returns the next move. It must be called after each event and each Wait.
func (r *Race) Next(now time.Duration) (m Move) {
	if r.copies == nil {
		r.copies, r.began = map[Target]state{}, now
		return r.send(now, m, r.Targets[0])
	}
	if !r.inDoubt && r.count(rejected) == len(r.Targets) {
		return Move{Rejected: true}
	}
	r.repeat(now)
	impatient := r.copies[r.last] != sent || r.quick || now-r.sentAt >= r.Patience
	if now-r.sentAt >= r.Patience && !r.probed {
		r.probed = true
		m.Probe = r.untriedPartitions()
	}
	if impatient {
		if t, ok := r.choose(now); ok {
			return r.send(now, m, t)
		}
	}
	m.Wait = max(min(r.sentAt+r.Patience, r.began+relayAfter)-now, time.Millisecond)
	if now >= r.sentAt+r.Patience {
		m.Wait = repeatAfter
	}
	return m
}

// send adds a copy to a move.
func (r *Race) send(now time.Duration, m Move, t Target) Move {
	r.copies[t], r.last, r.sentAt, r.quick = sent, t, now, false
	m.Send, m.Wait = append(m.Send, t), r.Patience
	return m
}

// choose returns the next target: the second preference, then those that have answered a probe, then the rest. A slow answer to
// a probe shows a slow store, for which more copies do harm. Another daemon is asked only once the store has answered nothing
// for long, or has rejected the copies at all partitions.
func (r *Race) choose(now time.Duration) (t Target, ok bool) {
	unanswered := now - r.sentAt
	probesCount := r.quick || r.fast && unanswered >= r.Patience || unanswered >= maxPatience
	for n, t := range r.Targets {
		if t != Relay && r.copies[t] == untried && (n <= 1 || probesCount && slices.Contains(r.answering, t)) {
			return t, true
		}
	}
	silent := !r.answered && now-r.began >= relayAfter
	if r.copies[Relay] == untried && slices.Contains(r.Targets, Relay) && (silent || len(r.untriedPartitions()) == 0 && r.count(sent) == 0) {
		return Relay, true
	}
	// An unanswered copy may be stored yet. A copy at a partition of which nothing is known helps only if the others failed.
	if r.count(sent) == 0 {
		if rest := r.untriedPartitions(); len(rest) > 0 {
			return rest[0], true
		}
	}
	return 0, false
}

// repeat makes the rejected targets available again if the append may have been stored without an answer.
func (r *Race) repeat(now time.Duration) {
	if !r.inDoubt && r.count(sent) == 0 || r.failedAt == 0 || now-r.failedAt < repeatAfter {
		return
	}
	for t, s := range r.copies {
		if s != sent {
			r.copies[t] = untried
		}
	}
}

// untriedPartitions returns the partitions without a copy.
func (r *Race) untriedPartitions() (list []Target) {
	for _, t := range r.Targets {
		if t != Relay && r.copies[t] == untried {
			list = append(list, t)
		}
	}
	return list
}

// count returns the number of copies in a state.
func (r *Race) count(want state) (n int) {
	for _, s := range r.copies {
		if s == want {
			n++
		}
	}
	return n
}

// Failed records that a copy was not stored, or that nothing is known of it.
func (r *Race) Failed(now time.Duration, t Target, notStored bool) {
	r.failedAt = now
	if notStored {
		r.copies[t], r.answered = rejected, r.answered || t != Relay
		return
	}
	r.copies[t], r.inDoubt = failed, true
}

// Unreachable reports whether nothing has been heard of the store for so long that further appends are not worth a try.
func (r *Race) Unreachable(now time.Duration) bool {
	return !r.answered && now-r.began >= unreachableAfter
}

// Probed records the answer to a probe of a partition.
func (r *Race) Probed(t Target, took time.Duration) {
	r.answered = true
	r.answering = append(r.answering, t)
	if took < QuickProbe {
		r.fast, r.quick = true, true
	}
}
