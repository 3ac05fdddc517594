package budget

import (
	"math/rand/v2"
	"testing"
)

// open returns an account whose request ends when it is told to.
func open(b *Budget) (a *Account, ended *bool) {
	ended = new(bool)
	a = &Account{Budget: b}
	a.End = func() { *ended = true }
	return a, ended
}

// answer is the answer to a request for bytes, which may come later.
type answer struct {
	granted bool
	waits   <-chan bool
}

// ask asks for bytes without waiting.
func ask(a *Account, n Bytes) answer {
	granted, waits := a.ask(n)
	return answer{granted, waits}
}

// decided returns what a request for bytes has got; isDecided is false while it waits.
func decided(a answer) (granted, isDecided bool) {
	if a.waits == nil {
		return a.granted, true
	}
	select {
	case granted = <-a.waits:
		return granted, true
	default:
		return false, false
	}
}

func mustTake(t *testing.T, a *Account, n Bytes) {
	t.Helper()
	if ok, isDecided := decided(ask(a, n)); !ok || !isDecided {
		t.Fatalf("%d bytes: granted %t, decided %t", n, ok, isDecided)
	}
}

// Load: clients that fill the budget with large requests which they do not complete, and one more request.
func TestStalledRequestsEndForNewOnes(t *testing.T) {
	b := &Budget{Total: 1000}
	first, firstEnded := open(b)
	second, secondEnded := open(b)
	mustTake(t, first, 400)
	mustTake(t, second, 500)
	small, _ := open(b)
	granted := ask(small, 200)
	if !*firstEnded || *secondEnded {
		t.Fatalf("ended: first %t, second %t; want only the one that was received for the longest time", *firstEnded, *secondEnded)
	}
	if _, isDecided := decided(granted); isDecided {
		t.Fatal("bytes were granted before the ending request had given them back")
	}
	first.Close()
	if ok, _ := decided(granted); !ok {
		t.Error("the new request did not get the bytes of the one that ended")
	}
	if held := b.Held(); held != 700 {
		t.Errorf("%d bytes are held, want 700", held)
	}
}

// Load: many small requests that were there before a large one.
func TestLargeRequestEndsBeforeSmallOnes(t *testing.T) {
	b := &Budget{Total: 1000}
	small, smallEnded := open(b)
	mustTake(t, small, 10)
	large, largeEnded := open(b)
	mustTake(t, large, 900)
	if ok, isDecided := decided(ask(large, 900)); ok || !isDecided || *smallEnded {
		t.Errorf("growth of the largest request: granted %t, decided %t, small one ended %t; want a refusal", ok, isDecided, *smallEnded)
	}
	other, _ := open(b)
	_ = ask(other, 200)
	if !*largeEnded || *smallEnded {
		t.Errorf("ended: large %t, small %t; want the large one", *largeEnded, *smallEnded)
	}
}

// Load: requests that have been received and are being answered.
func TestCompleteRequestsDoNotEnd(t *testing.T) {
	b := &Budget{Total: 1000}
	complete, ended := open(b)
	mustTake(t, complete, 900)
	if !complete.Complete() {
		t.Fatal("a request with room could not be completed")
	}
	other, _ := open(b)
	if ok, isDecided := decided(ask(other, 200)); ok || !isDecided || *ended {
		t.Errorf("granted %t, decided %t, complete request ended %t; want an immediate refusal", ok, isDecided, *ended)
	}
	complete.Reset()
	mustTake(t, other, 200)
}

// Guards against a waiting request that is told to end and waits on, and so never gives back what it holds.
func TestWaitingRequestThatHasToEndIsRefused(t *testing.T) {
	b := &Budget{Total: 1000}
	first, firstEnded := open(b)
	mustTake(t, first, 520)
	second, secondEnded := open(b)
	mustTake(t, second, 100)
	waits := ask(second, 480)
	if _, isDecided := decided(waits); isDecided || !*firstEnded {
		t.Fatal("the second request does not wait for the first")
	}
	third, _ := open(b)
	next := ask(third, 500)
	if ok, isDecided := decided(waits); ok || !isDecided || !*secondEnded {
		t.Fatalf("ended %t, granted %t, decided %t; want the end of the second request and a refusal", *secondEnded, ok, isDecided)
	}
	if ok, isDecided := decided(ask(second, 1)); ok || !isDecided {
		t.Error("a request that has to end got bytes")
	}
	first.Close()
	second.Close()
	mustBeGranted(t, next)
}

// Guards against a request that waits for more than can become free.
func TestMoreThanCanBecomeFreeIsRefused(t *testing.T) {
	b := &Budget{Total: 1000}
	complete, _ := open(b)
	mustTake(t, complete, 500)
	complete.Complete()
	stalled, stalledEnded := open(b)
	mustTake(t, stalled, 450)
	other, _ := open(b)
	if ok, isDecided := decided(ask(other, 600)); ok || !isDecided || *stalledEnded {
		t.Errorf("granted %t, decided %t, stalled request ended %t; want a refusal alone", ok, isDecided, *stalledEnded)
	}
}

func mustBeGranted(t *testing.T, granted answer) {
	t.Helper()
	if ok, isDecided := decided(granted); !ok || !isDecided {
		t.Fatalf("granted %t, decided %t", ok, isDecided)
	}
}

// Load: a crowd of large requests that stop, in random order, beside small ones. Ending requests close after a while. Whatever
// happens, the budget holds, nobody waits for ever and small requests that have begun are not ended.
func TestBudgetHoldsUnderACrowd(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 63))
		const total = 10_000
		b := &Budget{Total: total}
		var ending []*Account
		var crowd []*Account
		type request struct {
			granted answer
			bytes   Bytes
		}
		var waiting []request
		for range 400 {
			switch {
			case len(ending) > 0 && rng.IntN(2) == 0:
				n := rng.IntN(len(ending))
				ending[n].Close()
				ending = append(ending[:n], ending[n+1:]...)
			case len(crowd) > 0 && rng.IntN(3) > 0:
				a := crowd[rng.IntN(len(crowd))]
				waiting = append(waiting, request{ask(a, Bytes(500+rng.IntN(1500))), 0})
			default:
				a := &Account{Budget: b}
				a.End = func() { ending = append(ending, a) }
				crowd = append(crowd, a)
				small, smallEnded := open(b)
				waiting = append(waiting, request{ask(small, 20), 20})
				if *smallEnded {
					t.Fatalf("seed %d: a small request ended", seed)
				}
				small.Close()
			}
			if held := b.Held(); held > total || held < 0 {
				t.Fatalf("seed %d: %d bytes are held, want 0 to %d", seed, held, total)
			}
		}
		for len(ending) > 0 {
			next := ending[0]
			ending = ending[1:]
			next.Close()
		}
		for _, w := range waiting {
			if _, isDecided := decided(w.granted); !isDecided {
				t.Fatalf("seed %d: a request waits although no other is ending", seed)
			}
		}
		for _, a := range crowd {
			a.Close()
		}
		if held := b.Held(); held != 0 {
			t.Fatalf("seed %d: %d bytes are held by nobody", seed, held)
		}
	}
}

// Load: connections that are opened and not used, and callers that come later.
func TestSilentConnectionsCloseForNewOnes(t *testing.T) {
	s := &Connections{Max: 3}
	var closed []string
	add := func(name string) (*Connection, bool) {
		c := &Connection{Close: func() { closed = append(closed, name) }}
		return c, s.Admit(c)
	}
	serving, _ := add("serving")
	if !s.SetServing(serving, true) {
		t.Fatal("an open connection could not serve")
	}
	first, _ := add("first")
	second, _ := add("second")
	s.Touch(first)
	if _, ok := add("third"); !ok {
		t.Fatal("a new connection was refused beside silent ones")
	}
	if len(closed) != 1 || closed[0] != "second" {
		t.Fatalf("closed %v, want the one that was silent for the longest time", closed)
	}
	if s.SetServing(second, true) {
		t.Error("a closing connection may serve")
	}
	s.SetServing(first, true)
	third, _ := add("fourth")
	s.SetServing(third, true)
	if _, ok := add("fifth"); ok {
		t.Error("a connection was closed that serves a request")
	}
	s.Remove(first)
	if _, ok := add("sixth"); !ok || s.Len() != 3 {
		t.Errorf("%d connections are open, admitted %t; want 3 and an admission", s.Len(), ok)
	}
}

// The memory of all connections and requests, with what is not read, must leave room for the daemon's own state at any size.
func TestPlanFitsIntoTheMemory(t *testing.T) {
	for _, memory := range []Bytes{96 << 20, 128 << 20, 144 << 20, 160 << 20, 184 << 20, 284 << 20, 424 << 20, 536 << 20, 4 << 30} {
		for _, files := range []int{256, 1600, 3075, 4100, 4200, 8192, 10_250, 1 << 20} {
			p := NewPlan(memory, files)
			if sum := p.Sum(); sum > memory*2/3 {
				t.Errorf("%d MB, %d files: connections and requests take %d MB, want at most two thirds", memory>>20, files, sum>>20)
			}
			if p.Heap+p.Unread() > memory {
				t.Errorf("%d MB, %d files: heap of %d MB and unread bytes of %d MB are more than the memory", memory>>20, files, p.Heap>>20, p.Unread()>>20)
			}
			if p.Callers+sidePorts*p.Side+p.Peers > files && files > 4096 || p.Callers > files/fileShare {
				t.Errorf("%d MB, %d files: %d connections of callers, %d of daemons", memory>>20, files, p.Callers, p.Peers)
			}
		}
	}
}
