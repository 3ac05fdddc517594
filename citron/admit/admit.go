// Package admit decides whether a daemon may accept a job, by the memory that accepted jobs take of every daemon. It has no network,
// goroutines or clocks.
//
// Every daemon counts all jobs that it knows, whoever has accepted them, and keeps room free in proportion to what the account of a new
// job uses already and to the size of that job. So the accounts and jobs that take most are refused first, and small jobs of
// others are accepted beside them.
package admit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// sizeWeight is how many more jobs like the new one must fit into the room that is left.
	sizeWeight = 8
	// teamWeight is how much more than one queue all queues of a team may use.
	teamWeight = 2
	// endedWeight is how much more than open jobs the ended ones of a queue may use. They go by themselves.
	endedWeight = 8
	// seenAfter is how long the jobs that one daemon accepts may be unknown to others that read the store.
	seenAfter = 2 * time.Second
	// smallBytes is the cost up to which a job counts as small: a few steps of some dozen tasks.
	smallBytes budget.Bytes = 16 << 10
	// smallShare is the part of the room that a daemon may fill with small jobs before others know of them, largeShare the same for
	// large ones and all daemons together. Large jobs have no part in smallShare, so that they do not keep small ones waiting.
	smallShare = 8
	largeShare = 2
	// notLoadedShare is the part of the limit that a daemon may fill before it has read which jobs others have accepted.
	notLoadedShare = 8
)

// When a refused caller is told to return.
const (
	// MinRetry is the least time, and the one until a daemon has read what is accepted.
	MinRetry = time.Second
	// MaxRetry is the longest time, and the one while no job ends.
	MaxRetry = 10 * time.Second
)

// rateInterval is the least time over which the rate at which room becomes free is measured.
const rateInterval = time.Second

// AccountOf returns the account of a job.
func AccountOf(spec *work.Job) Account {
	return Account{citron.Team(spec.GetTeam()), citron.QueueName(spec.GetQueue())}
}

// Account is what the jobs of one queue that one team has submitted count against.
type Account struct {
	Team  citron.Team
	Queue citron.QueueName
}

// Use is what jobs take.
type Use struct {
	// Open is for jobs that have not ended, Ended for those of which callers may still ask for the state.
	Open, Ended budget.Bytes
}

// sum returns the sum of both.
func (u Use) sum() budget.Bytes { return u.Open + u.Ended }

// Negated returns what takes the use back.
func (u Use) Negated() Use { return Use{-u.Open, -u.Ended} }

// Ledger counts what accepted jobs take and decides on new ones. The zero value has no limit.
type Ledger struct {
	// Limit is what all jobs together may take; 0 means no limit.
	Limit budget.Bytes

	mu       sync.Mutex
	total    Use
	accounts map[Account]Use
	teams    map[citron.Team]Use
	// recent are the jobs that this daemon has accepted and others may not know yet.
	recent []accepted
	rate   freeRate
}

// accepted is a job that this daemon has accepted.
type accepted struct {
	at   time.Duration
	cost budget.Bytes
}

// IsSmall reports whether a job of a cost counts as small. Every daemon decides on those by itself.
func IsSmall(cost budget.Bytes) bool { return cost <= smallBytes }

// Change adds to what the jobs of an account take.
func (l *Ledger) Change(a Account, by Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeLocked(a, by)
}

func (l *Ledger) changeLocked(a Account, by Use) {
	if l.accounts == nil {
		l.accounts, l.teams = map[Account]Use{}, map[citron.Team]Use{}
	}
	l.total = add(l.total, by)
	if l.accounts[a] = add(l.accounts[a], by); l.accounts[a] == (Use{}) {
		delete(l.accounts, a)
	}
	if l.teams[a.Team] = add(l.teams[a.Team], by); l.teams[a.Team] == (Use{}) {
		delete(l.teams, a.Team)
	}
	if change := by.sum(); change < 0 {
		l.rate.freed -= change
	}
}

func add(a, b Use) Use {
	return Use{a.Open + b.Open, a.Ended + b.Ended}
}

// Total returns what all jobs take.
func (l *Ledger) Total() Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Request is a new job that asks to be accepted.
type Request struct {
	Account Account
	Cost    budget.Bytes
	// Now is the boot time, KnownAsOf the one up to which every accepted job is known; zero until they have been read.
	Now, KnownAsOf time.Duration
	// Daemons is the number of daemons that decide on large jobs at the same time.
	Daemons int
	// First is set if the job may exceed this daemon's share of the room as the first large one in it, since no other daemon
	// can decide on it.
	First bool
}

// Reason says why a job is refused.
type Reason string

// Reasons.
const (
	// ReasonTooCostly means that the job cannot be accepted at any time.
	ReasonTooCostly Reason = "cost"
	// ReasonQueue means that the queue uses too much beside the room that is left, ReasonTeam the same for the team.
	ReasonQueue Reason = "queue"
	ReasonTeam  Reason = "team"
	// ReasonDaemon means that this daemon has accepted as much as it may before others know of it.
	ReasonDaemon Reason = "daemon"
	// ReasonNotLoaded means that this daemon does not know yet what others have accepted.
	ReasonNotLoaded Reason = "not loaded"
)

// Refused tells why a job is refused and when its caller should return; never if RetryAfter is 0.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error describes the reason.
func (r *Refused) Error() string {
	return fmt.Sprintf("accepted jobs use up the memory for them: %s", string(r.Reason))
}

// Reserve decides on a new job and takes the room for it. Unless the job is refused, release must be called once the job has been
// counted by Change, or is known not to have been accepted.
func (l *Ledger) Reserve(r Request) (release func(), refused *Refused) {
	if l.Limit == 0 {
		return func() {}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate.measure(r.Now)
	l.forget(r)
	if refused := l.decide(r); refused != nil {
		return nil, refused
	}
	l.recent = append(l.recent, accepted{r.Now, r.Cost})
	l.changeLocked(r.Account, Use{Open: r.Cost})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		freed := l.rate.freed
		l.changeLocked(r.Account, Use{Open: -r.Cost})
		l.rate.freed = freed
	}, nil
}

// forget removes the jobs that other daemons know by now.
func (l *Ledger) forget(r Request) {
	since := min(r.Now-seenAfter, r.KnownAsOf)
	l.recent = slices.DeleteFunc(l.recent, func(a accepted) bool { return a.at < since })
}

// free returns the room that is left.
func (l *Ledger) free() budget.Bytes {
	return max(l.Limit-l.total.sum(), 0)
}

// decide returns why a job is refused, or nil.
func (l *Ledger) decide(r Request) *Refused {
	need := sizeWeight * r.Cost
	if need+r.Cost > l.Limit {
		return &Refused{Reason: ReasonTooCostly}
	}
	if r.KnownAsOf == 0 && l.recentCost(false)+l.recentCost(true)+need > l.Limit/notLoadedShare {
		return &Refused{ReasonNotLoaded, MinRetry}
	}
	if lacking := l.accounts[r.Account].weighted() + need + r.Cost - l.free(); lacking > 0 {
		return &Refused{ReasonQueue, l.rate.timeFor(lacking)}
	}
	if team := l.teams[r.Account.Team]; r.Account.Team != "" {
		if lacking := team.weighted()/teamWeight + need + r.Cost - l.free(); lacking > 0 {
			return &Refused{ReasonTeam, l.rate.timeFor(lacking)}
		}
	}
	share := l.free() / smallShare
	if !IsSmall(r.Cost) {
		share = l.free() / budget.Bytes(largeShare*max(r.Daemons, 1))
	}
	recent := l.recentCost(IsSmall(r.Cost))
	if recent+r.Cost <= share || recent == 0 && r.First {
		return nil
	}
	return &Refused{ReasonDaemon, seenAfter}
}

// weighted returns what counts against an account.
func (u Use) weighted() budget.Bytes {
	return u.Open + u.Ended/endedWeight
}

// recentCost returns what the recently accepted jobs take that count as small, or those that do not.
func (l *Ledger) recentCost(ofSmall bool) (sum budget.Bytes) {
	for _, a := range l.recent {
		if IsSmall(a.cost) == ofSmall {
			sum += a.cost
		}
	}
	return sum
}

// freeRate measures how quickly room becomes free.
type freeRate struct {
	// freed is the room that has become free so far; it was freedBefore at the last measurement, which was at measuredAt.
	freed, freedBefore budget.Bytes
	measuredAt         time.Duration
	perSecond          float64
}

// measure updates the rate if the last measurement is long enough ago.
func (f *freeRate) measure(now time.Duration) {
	since := now - f.measuredAt
	if since < rateInterval {
		return
	}
	f.perSecond = float64(f.freed-f.freedBefore) / since.Seconds()
	f.freedBefore, f.measuredAt = f.freed, now
}

// timeFor returns when room will probably have become free, for which a caller waits.
func (f *freeRate) timeFor(lacking budget.Bytes) time.Duration {
	if f.perSecond <= 0 {
		return MaxRetry
	}
	wait := time.Duration(float64(lacking) / f.perSecond * float64(time.Second))
	return min(max(wait, MinRetry), MaxRetry)
}
