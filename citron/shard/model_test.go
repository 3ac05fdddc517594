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

// The model searches breadth first over every order of events of three daemons that share one shard: late appends,
// lost, repeated and late messages, pauses, restarts and releases. The decisions are those of Replica itself.

const (
	modelVMs   = 3
	modelLease = 2
	// ciStates bounds the search in CI; CITRON_MODEL_STATES raises it.
	ciStates = 400_000
)

// scope bounds the events of one search.
type scope struct {
	clock     int
	records   int
	restarts  int
	releases  bool
	handovers bool
	// appoints includes changes of the standby.
	appoints bool
	// solo includes owners without a standby.
	solo bool
}

var full = scope{clock: 5, records: 2, restarts: 1, releases: true, handovers: true, appoints: true, solo: true}

var modelNames = [modelVMs]citron.VMName{"a", "b", "c"}

type messageKind byte

const (
	askLease messageKind = iota
	grantLease
	giveUp
)

// message stays in flight for ever: it may be lost, late or come twice.
type message struct {
	kind  messageKind
	to    citron.Member
	sent  int
	lease Lease
}

type world struct {
	clock    int
	restarts int
	replicas [modelVMs]Replica
	read     [modelVMs]int
	log      []Change
	appends  []Change
	messages []message
	skip     rule
	scope    scope
	// trace is the path to this state.
	trace *step
}

type step struct {
	text string
	prev *step
}

func at(clock int) citron.Instant {
	return citron.Instant{Boot: time.Duration(clock), Wall: time.Unix(0, int64(clock))}
}

func firstWorld(skip rule, in scope) world {
	w := world{skip: skip, scope: in, clock: 1}
	for n := range w.replicas {
		w.replicas[n] = w.fresh(n, 1)
	}
	a, b := w.replicas[0].Self, w.replicas[1].Self
	w.log = []Change{{Owner: a, Standby: b}}
	for n := range w.replicas {
		w = w.readNext(n)
	}
	return w
}

func (w *world) fresh(n int, incarnation citron.Incarnation) Replica {
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

// fold is the log's state after its first n records.
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
		landed := w
		landed.log = append(append([]Change(nil), w.log...), c)
		yield(landed, fmt.Sprintf("append %d lands", n))
	}
	for n := range w.replicas {
		w.nextOf(n, yield)
	}
	for _, m := range w.messages {
		w.deliver(m, yield)
	}
}

func (w world) nextOf(n int, yield func(world, string)) {
	name := string(modelNames[n])
	if w.read[n] < len(w.log) {
		yield(w.readNext(n), name+" reads")
	}
	if w.restarts < w.scope.restarts {
		again := w
		again.restarts++
		again.replicas[n] = again.fresh(n, w.replicas[n].Self.Incarnation+1)
		again.read[n] = 0
		yield(again, name+" restarts")
	}
	if l, ok := w.replicas[n].LeaseRequest(); ok {
		yield(w.send(message{kind: askLease, to: l.Standby, sent: w.clock, lease: l}), name+" asks")
	}
	w.changesOf(n, yield)
	if !w.scope.releases {
		return
	}
	released := w
	if l, ok := released.replicas[n].Release(); ok {
		yield(released.send(message{kind: giveUp, to: l.Standby, lease: l}), name+" releases")
	}
}

func (w world) changesOf(n int, yield func(world, string)) {
	name := string(modelNames[n])
	now := at(w.clock)
	for _, other := range w.others(n) {
		claimed := w
		r := &claimed.replicas[n]
		if !r.ChangePending() && (r.CanClaim(now) || r.CanClaimOrphan(w.dead)) {
			yield(claimed.append(r.Claim(other)), name+" claims with standby "+string(other.VM))
		}
		appointed := w
		if c, ok := appointed.replicas[n].Appoint(now, other); ok && w.scope.appoints {
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

// others lists the members that n could choose, and none.
func (w world) others(n int) []citron.Member {
	var list []citron.Member
	if w.scope.solo {
		list = append(list, citron.Member{})
	}
	for o := range w.replicas {
		if o != n {
			list = append(list, w.replicas[o].Self)
		}
	}
	return list
}

func (w world) deliver(m message, yield func(world, string)) {
	for n := range w.replicas {
		self := w.replicas[n].Self
		if self != m.to && !(w.skip == ruleIncarnations || w.skip == ruleNoTakeBack) || self.VM != m.to.VM {
			continue
		}
		got := w
		r := &got.replicas[n]
		switch m.kind {
		case askLease:
			if r.Grant(at(w.clock), m.lease) {
				yield(got.send(message{kind: grantLease, to: m.lease.Owner, sent: m.sent, lease: m.lease}), string(self.VM)+" grants")
			}
		case grantLease:
			r.ApplyGrant(at(m.sent), m.lease)
			yield(got, string(self.VM)+" renewed")
		case giveUp:
			if r.AcceptRelease(m.lease) {
				yield(got, string(self.VM)+" takes the release")
			}
		}
	}
}

// active lists the members that may act now.
func (w world) active() (names []string) {
	for _, r := range w.replicas {
		if r.MayAct(at(w.clock)) {
			names = append(names, string(r.Self.VM))
		}
	}
	return names
}

// key is a hash of the state. The sets of appends and messages are order-free.
func (w world) key() uint64 {
	b := make([]byte, 0, 128)
	b = append(b, byte(w.clock), byte(w.restarts))
	for n, r := range w.replicas {
		b = append(b, byte(w.read[n]), byte(r.Self.Incarnation), byte(r.state.Epoch), byte(r.state.StandbyNumber))
		b = append(b, byte(r.leaseUntil.Boot), byte(r.grantedUntil.Boot), flag(r.changeSent), flag(r.releasedIn), flag(r.releasedOut))
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

// search returns the path to a state with two active owners, or none, and the number of states seen.
func search(skip rule, in scope, most int) (path []string, states int, whole bool) {
	start := firstWorld(skip, in)
	seen := map[uint64]bool{start.key(): true}
	frontier := []world{start}
	for len(frontier) > 0 {
		var later []world
		for _, w := range frontier {
			var bad *world
			w.next(func(n world, text string) {
				k := n.key()
				if bad != nil || seen[k] || len(seen) >= most {
					return
				}
				seen[k] = true
				n.trace = &step{text: text, prev: w.trace}
				if len(n.active()) > 1 {
					bad = &n
				}
				later = append(later, n)
			})
			if bad != nil {
				return bad.trace.path(), len(seen), false
			}
		}
		if len(seen) >= most {
			return nil, len(seen), false
		}
		frontier = later
	}
	return nil, len(seen), true
}

func (s *step) path() (path []string) {
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
		t.Fatal(err)
	}
	return n
}

func TestModelHasOneActiveOwner(t *testing.T) {
	path, states, whole := search(ruleNone, full, modelStates(t))
	t.Logf("%d states, whole space: %t", states, whole)
	if path != nil {
		t.Fatalf("two active owners after: %s", strings.Join(path, "; "))
	}
}

func TestModelCatchesEveryOmission(t *testing.T) {
	omissions := []struct {
		name string
		skip rule
		in   scope
	}{
		{"incarnations", ruleIncarnations, scope{clock: 3, records: 2, restarts: 1, solo: true}},
		{"base check", ruleBaseCheck, full},
		{"waiting", ruleWaiting, scope{clock: 3, records: 2, appoints: true}},
		{"old standby's leases", ruleOldStandbyLeases, full},
		{"grant after claim", ruleNoGrantAfterClaim, full},
		{"open record released", ruleReleaseClosed, full},
		{"acting past claim", ruleStopAtClaim, scope{clock: 3, records: 2, releases: true}},
		{"taking back", ruleNoTakeBack, full},
	}
	for _, o := range omissions {
		t.Run(o.name, func(t *testing.T) {
			path, states, _ := search(o.skip, o.in, modelStates(t)*10)
			if path == nil {
				t.Fatalf("no state with two active owners in %d states", states)
			}
			t.Logf("%d steps, %d states: %s", len(path), states, strings.Join(path, "; "))
			if path, states, _ = search(ruleNone, o.in, modelStates(t)); path != nil {
				t.Fatalf("with the rule, two active owners after: %s", strings.Join(path, "; "))
			}
			t.Logf("with the rule, none in %d states of the same scope", states)
		})
	}
}
