package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lateShare is the part of the starts that are left without an answer and carried out late, lateFor how long that lasts.
	lateShare = 0.5
	lateFor   = 5500 * time.Millisecond
	// minLate and maxLate bound the time after which they are carried out.
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
	// rebornShare is the number of executors that crash at once, less than 15 of 100 of 24, rebornTimes how often that happens,
	// rebornAfter the time until they are back.
	rebornShare = 3
	rebornTimes = 5
	rebornAfter = time.Second
)

// lateOrders holds starts back and sends them to the same address later, as a network does that delays them.
type lateOrders struct {
	mu     sync.Mutex
	until  time.Time
	random *rand.Rand
}

// holdBack reports whether a start is not to be answered. It is sent to its address later.
func (l *lab) holdBack(r *http.Request, o order, address string) bool {
	if !strings.HasSuffix(r.URL.Path, "/run-start") || r.Header.Get(lateHeader) != "" {
		return false
	}
	l.late.mu.Lock()
	defer l.late.mu.Unlock()
	if time.Now().After(l.late.until) || l.late.random.Float64() >= lateShare {
		return false
	}
	delay := minLate + time.Duration(l.late.random.Int64N(int64(maxLate-minLate)))
	body, _ := json.Marshal(o)
	header := r.Header.Clone()
	time.AfterFunc(delay, func() { l.sendLate(address, header, body, o, delay) })
	return true
}

// lateHeader marks a late order for the stand-in, so that it is not held back again.
const lateHeader = "Review-Late"

func (l *lab) sendLate(address string, header http.Header, body []byte, o order, delay time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/citroncross/run-start", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header = header
	r.Header.Set(lateHeader, "1")
	resp, err := client.Do(r)
	if err != nil {
		l.note("late", "start of %s run %d after %v: not delivered", o.Task, o.Run, delay.Round(time.Millisecond))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	l.note("late", "start of %s run %d after %v: %d %s", o.Task, o.Run, delay.Round(time.Millisecond), resp.StatusCode, bytes.TrimSpace(raw))
}

// onceCheck applies the rule TWICE.
type onceCheck struct {
	mu sync.Mutex
	// ends are the ends done that have been acknowledged, by task.
	ends map[string]string
	// broken counts the starts after such an end, known those of them more than knownAfter after the executor's start.
	broken, known int
}

// knownAfter is the time after the start of an executor from which the daemons surely know of it: several of the holder's tries and
// the executor's own entry in the store come before.
const knownAfter = 2 * time.Second

// noted records that the end of a run is acknowledged.
func (l *lab) noted(task string, run int, id string) {
	l.once.mu.Lock()
	defer l.once.mu.Unlock()
	if l.once.ends == nil {
		l.once.ends = map[string]string{}
	}
	l.once.ends[task] = fmt.Sprintf("run %d on %s", run, id)
}

// checkOnce checks a start.
func (l *lab) checkOnce(task string, run int, x *executor) {
	up := time.Since(x.began)
	l.once.mu.Lock()
	end, ended := l.once.ends[task]
	if ended {
		l.once.broken++
	}
	if ended && up > knownAfter {
		l.once.known++
	}
	l.once.mu.Unlock()
	if ended {
		l.note("check", "%s run %d starts on %s, which has started again %v ago, though %s has ended done and that end has been acknowledged",
			task, run, x.id, up.Round(time.Millisecond), end)
	}
}

// reborn submits short jobs. With trouble, some starts are not answered and carried out late, and some executors crash and start
// again under their ids meanwhile.
func reborn(l *lab, trouble bool) (broken bool, err error) {
	l.late.random = rand.New(rand.NewPCG(45, 6))
	chance := rand.New(rand.NewPCG(45, 7))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		time.Sleep(2 * time.Second)
		if !trouble {
			return
		}
		l.late.mu.Lock()
		l.late.until = time.Now().Add(lateFor)
		l.late.mu.Unlock()
		l.note("fault", "%v of the starts get no answer for %v and are carried out late", lateShare, lateFor)
		for range rebornTimes {
			time.Sleep(2 * time.Second)
			list := l.present()
			chance.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
			for _, x := range list[:rebornShare] {
				l.note("fault", "%s on %s crashes with %d runs", x.id, x.machine, x.load())
				x.crash()
				time.AfterFunc(rebornAfter, func() {
					var n int
					_, _ = fmt.Sscanf(x.machine, "m-%d", &n)
					if err := l.startExecutor(x.address, x.machine, n, x.id, 0); err != nil {
						l.note("fault", "%s does not start again: %v", x.machine, err)
					}
				})
			}
		}
	}()
	until := time.Now().Add(14 * time.Second)
	for n := 0; time.Now().Before(until); n++ {
		if !l.submit(fmt.Sprintf("b000%012x", n), 4, job("ms=500", step{Count: 4, CPU: 16_000, MemMB: 1000, Estimate: 500})) {
			return false, errNotAccepted
		}
		time.Sleep(100 * time.Millisecond)
	}
	<-ended
	time.Sleep(maxLate)
	l.once.mu.Lock()
	defer l.once.mu.Unlock()
	l.note("check", "%d starts after an end done that was acknowledged, %d of them more than %v after the executor was back", l.once.broken, l.once.known, knownAfter)
	return l.once.known > 0, nil
}
