package shard

import (
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
)

// The model is a breadth-first search over every order of events of three daemons that share one shard: late appends,
// lost, repeated and late messages, pauses, restarts and releases. The daemons run the code of Replica itself.

const (
	modelVMs = 3
	// modelLease is the duration of a lease in clock ticks.
	modelLease = 2
	// ciStates is the maximum number of states in CI; CITRON_MODEL_STATES overrides it.
	ciStates = 400_000
)

// scope limits the events of one search.
type scope struct {
	// clock is the last tick; records is the number of appends that may reach the log.
	clock     int
	records   int
	restarts  int
	releases  bool
	handovers bool
	// standbyChanges includes changes of the standby.
	standbyChanges bool
	// noStandby includes owners without a standby.
	noStandby bool
}

var fullScope = scope{clock: 5, records: 2, restarts: 1, releases: true, handovers: true, standbyChanges: true, noStandby: true}

var modelNames = [modelVMs]citron.VMName{"a", "b", "c"}

type messageKind byte

const (
	requestLease messageKind = iota
	grantLease
	releaseShard
)

// message stays in flight forever, so that it may be lost, late or delivered twice.
type message struct {
	kind  messageKind
	to    citron.Member
	sent  int
	lease Lease
}

// world is one state of the search.
type world struct {
	clock    int
	restarts int
	replicas [modelVMs]Replica
	// read is the number of log records that each replica has read.
	read [modelVMs]int
	log  []Change
	// appends holds the changes sent so far; each may reach the log any number of times.
	appends  []Change
	messages []message
	skip     rule
	scope    scope
	// trace is the path to this state.
	trace *traceStep
}

// traceStep is the last event of a path.
type traceStep struct {
	text string
	prev *traceStep
}

func at(clock int) citron.Instant {
	return citron.Instant{Boot: time.Duration(clock), Wall: time.Unix(0, int64(clock))}
}

func initialWorld(skip rule, in scope) world {
	w := world{skip: skip, scope: in, clock: 1}
	for n := range w.replicas {
		w.replicas[n] = w.newReplica(n, 1)
	}
	a, b := w.replicas[0].Self, w.replicas[1].Self
	w.log = []Change{{Owner: a, Standby: b}}
	for n := range w.replicas {
		w = w.readNext(n)
	}
	return w
}

func (w *world) newReplica(n int, incarnation citron.Incarnation) Replica {
	self := citron.Member{VM: modelNames[n], Incarnation: incarnation}
	return Replica{Self: self, Terms: Terms{Lease: modelLease}, skip: w.skip}
}

func (w world) dead(m citron.Member) bool {
	for _, r := range w.replicas {
		if r.Self.VM == m.VM {
			return r.Self.Incarnation > m.Incarnation
		}
	}
	return false
}

// fold returns the shard's state after the first n records of the log.
func (w world) fold(n int) (s State) {
	for _, c := range w.log[:n] {
		if w.skip == ruleBaseCheck {
			s = s.accept(c)
			continue
		}
		s, _ = s.Apply(c)
	}
	return s
}

func (w world) readNext(n int) world {
	w.read[n]++
	w.replicas[n].UpdateState(at(w.clock), w.fold(w.read[n]))
	return w
}

func (w world) send(m message) world {
	for _, old := range w.messages {
		if old == m {
			return w
		}
	}
	w.messages = append(append([]message(nil), w.messages...), m)
	return w
}

func (w world) append(c Change) world {
	for _, old := range w.appends {
		if old == c {
			return w
		}
	}
	w.appends = append(append([]Change(nil), w.appends...), c)
	return w
}

// next calls yield with every state that one event leads to.
func (w world) next(yield func(world, string)) {
	if w.clock < w.scope.clock {
		later := w
		later.clock++
		yield(later, "tick")
	}
	for n, c := range w.appends {
		if len(w.log) > w.scope.records {
			break
		}
		appended := w
		appended.log = append(append([]Change(nil), w.log...), c)
		yield(appended, fmt.Sprintf("append %d reaches the log", n))
	}
	for n := range w.replicas {
		w.replicaEvents(n, yield)
	}
	for _, m := range w.messages {
		w.deliver(m, yield)
	}
}

// replicaEvents yields the events of replica n.
func (w world) replicaEvents(n int, yield func(world, string)) {
	name := string(modelNames[n])
	if w.read[n] < len(w.log) {
		yield(w.readNext(n), name+" reads")
	}
	if w.restarts < w.scope.restarts {
		restarted := w
		restarted.restarts++
		restarted.replicas[n] = restarted.newReplica(n, w.replicas[n].Self.Incarnation+1)
		restarted.read[n] = 0
		yield(restarted, name+" restarts")
	}
	if l, ok := w.replicas[n].LeaseRequest(); ok {
		yield(w.send(message{kind: requestLease, to: l.Standby, sent: w.clock, lease: l}), name+" requests a lease")
	}
	w.changeEvents(n, yield)
	if !w.scope.releases {
		return
	}
	released := w
	if l, ok := released.replicas[n].Release(); ok {
		yield(released.send(message{kind: releaseShard, to: l.Standby, lease: l}), name+" releases")
	}
}

// changeEvents yields the changes that replica n may send.
func (w world) changeEvents(n int, yield func(world, string)) {
	name := string(modelNames[n])
	now := at(w.clock)
	for _, other := range w.candidates(n) {
		claimed := w
		r := &claimed.replicas[n]
		if !r.ChangePending() && (r.CanClaim(now) || r.CanClaimOrphan(w.dead)) {
			yield(claimed.append(r.Claim(other)), name+" claims with standby "+string(other.VM))
		}
		appointed := w
		if c, ok := appointed.replicas[n].Appoint(now, other); ok && w.scope.standbyChanges {
			yield(appointed.append(c), name+" appoints "+string(other.VM))
		}
		if other.IsZero() || !w.scope.handovers {
			continue
		}
		handed := w
		if c, ok := handed.replicas[n].HandOver(other, citron.Member{}); ok {
			yield(handed.append(c), name+" hands over to "+string(other.VM))
		}
	}
}

// candidates returns the members that replica n may name in a change; the zero member stands for no standby.
func (w world) candidates(n int) []citron.Member {
	var list []citron.Member
	if w.scope.noStandby {
		list = append(list, citron.Member{})
	}
	for o := range w.replicas {
		if o != n {
			list = append(list, w.replicas[o].Self)
		}
	}
	return list
}

// deliver yields the states after the delivery of m.
func (w world) deliver(m message, yield func(world, string)) {
	for n := range w.replicas {
		self := w.replicas[n].Self
		if self != m.to && !(w.skip == ruleStandbyIncarnation || w.skip == ruleOwnerIncarnation) || self.VM != m.to.VM {
			continue
		}
		got := w
		r := &got.replicas[n]
		switch m.kind {
		case requestLease:
			if r.Grant(at(w.clock), m.lease) {
				yield(got.send(message{kind: grantLease, to: m.lease.Owner, sent: m.sent, lease: m.lease}), string(self.VM)+" grants a lease")
			}
		case grantLease:
			r.ApplyGrant(at(m.sent), m.lease)
			yield(got, string(self.VM)+" receives a lease")
		case releaseShard:
			if r.AcceptRelease(m.lease) {
				yield(got, string(self.VM)+" accepts the release")
			}
		}
	}
}

// active returns the members that may act now.
func (w world) active() (names []string) {
	for _, r := range w.replicas {
		if r.MayAct(at(w.clock)) {
			names = append(names, string(r.Self.VM))
		}
	}
	return names
}

// key returns a hash of the state. The order of appends and messages does not matter.
func (w world) key() uint64 {
	b := make([]byte, 0, 128)
	b = append(b, byte(w.clock), byte(w.restarts))
	for n, r := range w.replicas {
		b = append(b, byte(w.read[n]), byte(r.Self.Incarnation), byte(r.state.Epoch), byte(r.state.StandbyNumber))
		b = append(b, byte(r.leaseUntil.Boot), byte(r.grantedUntil.Boot), flag(r.changePending), flag(r.releasedByOwner), flag(r.releasedToStandby))
	}
	var set uint64
	for _, c := range w.appends {
		set += xxhash.Sum64(changeBytes([]byte{0}, c))
	}
	for _, m := range w.messages {
		l := m.lease
		bytes := memberBytes([]byte{1, byte(m.kind), byte(m.sent), byte(l.Epoch), byte(l.StandbyNumber)}, m.to)
		set += xxhash.Sum64(memberBytes(memberBytes(bytes, l.Owner), l.Standby))
	}
	b = binary.LittleEndian.AppendUint64(b, set)
	for _, c := range w.log {
		b = changeBytes(b, c)
	}
	return xxhash.Sum64(b)
}

func changeBytes(b []byte, c Change) []byte {
	b = append(b, byte(c.BaseEpoch), byte(c.BaseStandbyNumber))
	return memberBytes(memberBytes(b, c.Owner), c.Standby)
}

func memberBytes(b []byte, m citron.Member) []byte {
	b = append(b, m.VM...)
	return append(b, '/', byte(m.Incarnation))
}

func flag(f bool) byte {
	if f {
		return 1
	}
	return 0
}

// search returns the path to a state with two active owners, if one was found, the number of states visited, and
// whether every state in scope was visited.
func search(skip rule, in scope, maxStates int) (path []string, states int, complete bool) {
	start := initialWorld(skip, in)
	seen := map[uint64]bool{start.key(): true}
	frontier := []world{start}
	for len(frontier) > 0 {
		var later []world
		for _, w := range frontier {
			var bad *world
			w.next(func(n world, text string) {
				k := n.key()
				if bad != nil || seen[k] || len(seen) >= maxStates {
					return
				}
				seen[k] = true
				n.trace = &traceStep{text: text, prev: w.trace}
				if len(n.active()) > 1 {
					bad = &n
				}
				later = append(later, n)
			})
			if bad != nil {
				return bad.trace.path(), len(seen), false
			}
		}
		if len(seen) >= maxStates {
			return nil, len(seen), false
		}
		frontier = later
	}
	return nil, len(seen), true
}

func (s *traceStep) path() (path []string) {
	for ; s != nil; s = s.prev {
		path = append([]string{s.text}, path...)
	}
	return path
}

func modelStates(t *testing.T) int {
	text := os.Getenv("CITRON_MODEL_STATES")
	if text == "" {
		return ciStates
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("CITRON_MODEL_STATES is %q, want a number: %v", text, err)
	}
	return n
}

// At no time may two daemons act as the owner of a shard.
func TestModelHasOneActiveOwner(t *testing.T) {
	path, states, complete := search(ruleNone, fullScope, modelStates(t))
	t.Logf("%d states, search complete: %t", states, complete)
	if path != nil {
		t.Fatalf("two active owners after: %s", strings.Join(path, "; "))
	}
}

// The search must find two active owners once any one rule is disabled, and none in the same scope with the rule.
func TestModelCatchesEveryOmission(t *testing.T) {
	omissions := []struct {
		name string
		skip rule
		in   scope
	}{
		{"standby incarnation", ruleStandbyIncarnation, scope{clock: 3, records: 2, restarts: 1, noStandby: true}},
		{"base check", ruleBaseCheck, fullScope},
		{"new standby waits", ruleStandbyWaits, scope{clock: 3, records: 2, standbyChanges: true}},
		{"no renewal while a change is pending", ruleNoRenewalWhilePending, fullScope},
		{"no grant after a claim", ruleNoGrantAfterClaim, fullScope},
		{"no release while a change is pending", ruleNoReleaseWhilePending, fullScope},
		{"stop acting at a claim", ruleStopAtClaim, scope{clock: 3, records: 2, releases: true}},
		{"owner incarnation", ruleOwnerIncarnation, fullScope},
	}
	for _, o := range omissions {
		t.Run(o.name, func(t *testing.T) {
			path, states, _ := search(o.skip, o.in, modelStates(t)*10)
			if path == nil {
				t.Fatalf("rule disabled, but no two active owners found in %d states", states)
			}
			t.Logf("%d steps, %d states: %s", len(path), states, strings.Join(path, "; "))
			if path, states, _ = search(ruleNone, o.in, modelStates(t)); path != nil {
				t.Fatalf("rule enabled, two active owners after: %s", strings.Join(path, "; "))
			}
			t.Logf("rule enabled, no two active owners in %d states of the same scope", states)
		})
	}
}
