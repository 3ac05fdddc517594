// Package budget decides how the memory of a process is shared among the requests that it receives: how many connections
// it admits, which request may hold more bytes, and which ones end so that others are served. It has no network,
// goroutines or clocks.
package budget

import (
	"math/bits"
	"slices"
	"sync"
)

// Bytes is an amount of memory.
type Bytes int64

// ShedReason says why a connection was closed or a request refused so that others are served.
type ShedReason string

// Reasons.
const (
	// ShedConnections means that too many connections were open.
	ShedConnections ShedReason = "connections"
	// ShedMemory means that the memory for requests was used up.
	ShedMemory ShedReason = "memory"
)

// Budget is a number of bytes that all requests of a process share. It answers clients that send many large requests and
// complete none: they get the room of other such requests, not that of small ones.
type Budget struct {
	// Total is what all requests may hold together.
	Total Bytes

	mu sync.Mutex
	// held is the sum of all accounts.
	held Bytes
	// accounts are those that hold bytes, in no order.
	accounts []*Account
	// begun numbers the requests in the order in which they first took bytes.
	begun uint64
	// waiting holds the accounts that wait for bytes of requests that are ending, first come first served.
	waiting []*wait
}

// Account is what one request holds.
type Account struct {
	Budget *Budget
	// End is called when the request must end so that others get its bytes. It must not block and must lead to Close.
	End func()

	// The budget's lock guards the fields below. Place is the index in Budget.accounts while the account holds bytes.
	held  Bytes
	place int
	begun uint64
	// complete is set once the request has been received as a whole; it does not end for others any more.
	complete bool
	ending   bool
	closed   bool
}

// wait is an account that waits for bytes.
type wait struct {
	account *Account
	bytes   Bytes
	granted chan bool
}

// Take takes bytes and reports whether the account has got them; if not, the request is to be refused. It waits while others
// are ending for it.
func (a *Account) Take(n Bytes) bool {
	granted, waits := a.ask(n)
	if waits != nil {
		return <-waits
	}
	return granted
}

// ask asks for bytes. If others have to end first, the channel is set and delivers whether they were granted.
func (a *Account) ask(n Bytes) (granted bool, waits <-chan bool) {
	b := a.Budget
	b.mu.Lock()
	var ending []*Account
	switch {
	case a.ending || a.closed:
	case len(b.waiting) == 0 && b.held+n <= b.Total:
		b.grant(a, n)
		granted = true
	default:
		var enough bool
		if ending, enough = b.findRoom(a, n); !enough {
			break
		}
		for _, e := range ending {
			e.ending = true
			b.refuseWaits(e)
		}
		w := &wait{a, n, make(chan bool, 1)}
		b.waiting = append(b.waiting, w)
		waits = w.granted
		b.serveWaiting()
	}
	b.mu.Unlock()
	for _, e := range ending {
		e.End()
	}
	return granted, waits
}

// grant adds bytes to an account. It requires b.mu.
func (b *Budget) grant(a *Account, n Bytes) {
	if n <= 0 {
		return
	}
	if a.held == 0 {
		b.begun++
		a.begun, a.place = b.begun, len(b.accounts)
		b.accounts = append(b.accounts, a)
	}
	a.held += n
	b.held += n
}

// findRoom returns the requests that have to end for an account to get n bytes. Enough is false if the account itself is the
// next that would have to end, or if all others are complete. It requires b.mu.
func (b *Budget) findRoom(a *Account, n Bytes) (ending []*Account, enough bool) {
	missing := b.held + n - b.Total
	for _, w := range b.waiting {
		missing += w.bytes
	}
	for _, other := range b.accounts {
		if other.ending {
			missing -= other.held
		}
	}
	chosen := map[*Account]bool{}
	for missing > 0 {
		next := b.nextToEnd(a, n, chosen)
		if next == nil || next == a {
			return nil, false
		}
		chosen[next] = true
		ending = append(ending, next)
		missing -= next.held
	}
	return ending, true
}

// nextToEnd returns the request that ends first for an account that wants n bytes: of those that are not complete the
// largest, and of requests of about the same size the one that has been received for the longest time. It requires b.mu.
func (b *Budget) nextToEnd(a *Account, n Bytes, except map[*Account]bool) (first *Account) {
	size := func(c *Account) int {
		if c == a {
			return bits.Len64(uint64(c.held + n))
		}
		return bits.Len64(uint64(c.held))
	}
	consider := func(c *Account) {
		if first == nil || size(c) > size(first) || size(c) == size(first) && c.begun < first.begun {
			first = c
		}
	}
	for _, c := range b.accounts {
		if c != a && !c.complete && !c.ending && !except[c] {
			consider(c)
		}
	}
	if !a.complete && a.held > 0 {
		consider(a)
	}
	return first
}

// serveWaiting grants what fits, in order. It requires b.mu.
func (b *Budget) serveWaiting() {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if b.held+w.bytes > b.Total {
			return
		}
		b.grant(w.account, w.bytes)
		w.granted <- true
		b.waiting = b.waiting[1:]
	}
}

// refuseWaits refuses what an account waits for. It requires b.mu.
func (b *Budget) refuseWaits(a *Account) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *wait) bool {
		if w.account == a {
			w.granted <- false
		}
		return w.account == a
	})
}

// Complete marks the request as received as a whole. It reports false if the request has to end.
func (a *Account) Complete() bool {
	b := a.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.complete = true
	return !a.ending && !a.closed
}

// Reopen lets a complete request end for others again, because it waits for its client.
func (a *Account) Reopen() {
	b := a.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.complete = false
}

// Release gives bytes back.
func (a *Account) Release(n Bytes) {
	b := a.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.release(n)
}

// release requires the budget's lock.
func (a *Account) release(n Bytes) {
	b, n := a.Budget, min(n, a.held)
	if n == 0 {
		return
	}
	a.held -= n
	b.held -= n
	if a.held == 0 {
		last := len(b.accounts) - 1
		moved := b.accounts[last]
		b.accounts[a.place], moved.place = moved, a.place
		b.accounts[last] = nil
		b.accounts = b.accounts[:last]
	}
	b.serveWaiting()
}

// Reset gives all bytes back at the end of a request, for the next one of the same connection.
func (a *Account) Reset() {
	b := a.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.complete = false
	a.release(a.held)
}

// Close gives all bytes back; the account gets no more.
func (a *Account) Close() {
	b := a.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.closed = true
	b.refuseWaits(a)
	a.release(a.held)
}

// Held returns what all requests hold.
func (b *Budget) Held() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}
