package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Doses of the relay scenario.
const (
	relayWorkers = 72
	// crashCount is the number of workers that crash.
	crashCount = 10
	freezeFor  = 4 * time.Second
	// crashAfter and downFor are when the workers crash after the freeze and for how long they are down.
	crashAfter = 1800 * time.Millisecond
	downFor    = 2 * time.Second
	// rounds is how often that happens, each time with another daemon; roundEvery is the time between two.
	rounds     = 3
	roundEvery = 10 * time.Second
	// jobsAtOnce jobs are submitted every burstEvery.
	jobsAtOnce = 72
	burstEvery = 400 * time.Millisecond
	shortTask  = 300 * time.Millisecond
)

// relayScenario freezes one daemon for 4 s while workers crash and start again under their ids.
func relayScenario(b *bed) error {
	for n := range relayWorkers {
		if _, err := b.addWorker(fmt.Sprintf("i-%03d", n), fmt.Sprintf("m-%03d", n), fmt.Sprintf("r%d", n/6), "", 400*time.Second); err != nil {
			return err
		}
	}
	b.publish(3)
	for n, share := range []float64{0.8, 0.8, 0.8, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2} {
		if err := b.addDaemon(fmt.Sprintf("front-%d", n), share); err != nil {
			return err
		}
	}
	if err := b.ready(); err != nil {
		return err
	}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- b.traffic(stop) }()
	time.Sleep(4 * time.Second)
	for range rounds {
		began := time.Now()
		if b.trouble {
			if err := b.freezeRound(); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(roundEvery)))
	}
	close(stop)
	if err := <-ended; err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// freezeRound freezes a daemon that does not run the pool, and lets some workers crash and start again meanwhile.
func (b *bed) freezeRound() error {
	holder, _ := b.holder()
	var candidates []*daemon
	for _, d := range b.daemons {
		if d != holder && d.milliCores == 800 {
			candidates = append(candidates, d)
		}
	}
	b.mu.Lock()
	frozen := candidates[b.rng.IntN(len(candidates))]
	b.mu.Unlock()
	frozen.signal(syscall.SIGSTOP)
	b.note("freeze %s; the pool is run by %s", frozen.name, holder.name)
	began := time.Now()
	time.Sleep(crashAfter)
	crashed := b.crashSome(crashCount)
	time.Sleep(downFor)
	for _, l := range crashed {
		if err := b.restart(l); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(freezeFor)))
	frozen.signal(syscall.SIGCONT)
	b.note("thaw %s", frozen.name)
	return nil
}

// crashSome crashes a number of workers, chosen at random.
func (b *bed) crashSome(count int) (crashed []*life) {
	b.mu.Lock()
	var candidates []*life
	for _, l := range b.lives {
		if !l.gone {
			candidates = append(candidates, l)
		}
	}
	b.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	b.mu.Unlock()
	crashed = candidates[:count]
	for _, l := range crashed {
		b.crash(l, "crash")
	}
	return crashed
}

// traffic submits short jobs to random daemons until it is stopped.
func (b *bed) traffic(stop <-chan struct{}) error {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; {
		select {
		case <-stop:
			if n == 0 {
				return errors.New("no job was sent")
			}
			return nil
		case <-time.After(burstEvery):
		}
		for range jobsAtOnce {
			id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(n))
			n++
			fronts := b.fronts()
			group.Add(1)
			go func() {
				defer group.Done()
				b.submit(id, stepBody{Count: 1, CPU: 20000, MemMB: 500, EstimateMs: 300}, taskSpec{runTime: shortTask}, fronts)
			}()
		}
	}
}

// Doses of the wave scenario.
const (
	// orderLate is how late the first upkeep order, which gets no answer, is carried out.
	orderLate = 8 * time.Second
	killAfter = 500 * time.Millisecond
	startup   = 300 * time.Millisecond
)

// waveScenario kills the daemon that carries out an upkeep wave while one of its orders is not answered.
func waveScenario(b *bed) error {
	for n := range 3 {
		if _, err := b.addWorker(fmt.Sprintf("i-%d", n), fmt.Sprintf("m-%d", n), "r0", "", 400*time.Second); err != nil {
			return err
		}
	}
	b.publish(3)
	for n := range 3 {
		if err := b.addDaemon(fmt.Sprintf("front-%d", n), 0.4); err != nil {
			return err
		}
	}
	if err := b.ready(); err != nil {
		return err
	}
	fronts := b.fronts()
	// Two large services leave one machine empty.
	lasts := taskSpec{startup: startup}
	if !b.submit("b000000000000001", stepBody{Count: 2, CPU: 28000, MemMB: 1000, AntiAffinity: 1, LongRunning: true}, lasts, fronts) {
		return errors.New("the first service was not accepted")
	}
	empty := func() (list []*life) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, l := range b.lives {
			if !l.gone && len(l.runs) == 0 {
				list = append(list, l)
			}
		}
		return list
	}
	if !waitFor(10*time.Second, func() bool { return len(empty()) == 1 }) {
		return errors.New("the first service does not run")
	}
	target := empty()[0]
	ordered := make(chan struct{}, 1)
	if b.trouble {
		first := true
		b.cloud.onOrder = func(string) bool {
			if !first {
				return false
			}
			first = false
			b.log("this order gets no answer and is carried out %v later", orderLate)
			ordered <- struct{}{}
			return true
		}
	}
	wave := fmt.Sprintf(`{"wave":1,"machines":[%q],"duration_s":20,"max_count":1}`, target.machine)
	b.note("op/wave/1 %s", wave)
	b.store.Put("keyed.op", "wave/1", []byte(wave))
	if b.trouble {
		select {
		case <-ordered:
		case <-time.After(15 * time.Second):
			return errors.New("no upkeep was ordered")
		}
		time.Sleep(killAfter)
		holder, epoch := b.holder()
		holder.signal(syscall.SIGKILL)
		b.note("kill %s, which runs the pool in epoch %d", holder.name, epoch)
		<-holder.ended
		time.Sleep(time.Second)
		if err := holder.start(b); err != nil {
			return err
		}
	} else {
		time.Sleep(killAfter + time.Second)
	}
	if !b.submit("b000000000000002", stepBody{Count: 4, CPU: 5000, MemMB: 1000, LongRunning: true, MayMiss: 1}, lasts, b.fronts()) {
		return errors.New("the second service was not accepted")
	}
	time.Sleep(15 * time.Second)
	b.note("status/wave/1 %s", b.store.Value("keyed.status", "wave/1"))
	b.note("service 2 is %s", b.state("b000000000000002", fronts[0]))
	return nil
}

// Doses of the gang scenario.
const (
	gangWorkers  = 48
	greyShare    = 0.146
	greyFor      = 6500 * time.Millisecond
	gangMembers  = 8
	gangAttempts = 2
	gangsAtOnce  = 30
)

// gangScenario lets some workers fail all that they start while gangs are submitted.
func gangScenario(b *bed) error {
	var lives []*life
	for n := range gangWorkers {
		l, err := b.addWorker(fmt.Sprintf("i-%03d", n), fmt.Sprintf("m-%03d", n), fmt.Sprintf("r%d", n/6), "", 400*time.Second)
		if err != nil {
			return err
		}
		lives = append(lives, l)
	}
	b.publish(gangAttempts)
	for n := range 3 {
		if err := b.addDaemon(fmt.Sprintf("front-%d", n), 0.4); err != nil {
			return err
		}
	}
	if err := b.ready(); err != nil {
		return err
	}
	if b.trouble {
		b.setGrey(lives, true)
	}
	began := time.Now()
	var ids []string
	var group sync.WaitGroup
	for burst := 0; time.Since(began) < greyFor; burst++ {
		for n := range gangsAtOnce {
			id := fmt.Sprintf("%016x", 0xc000000000000000+uint64(burst*1000+n))
			ids = append(ids, id)
			fronts := b.fronts()
			group.Add(1)
			go func() {
				defer group.Done()
				b.submit(id, stepBody{Count: gangMembers, CPU: 3000, MemMB: 1000, EstimateMs: 300, Gang: true, AntiAffinity: 1}, taskSpec{runTime: shortTask}, fronts)
			}()
		}
		time.Sleep(2200 * time.Millisecond)
	}
	group.Wait()
	b.setGrey(lives, false)
	time.Sleep(5 * time.Second)
	for _, id := range ids {
		b.checkGang(id, b.state(id, b.daemons[0].front))
	}
	return nil
}

// setGrey makes a share of the workers fail all that they start, or ends that.
func (b *bed) setGrey(lives []*life, grey bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	picks := rand.New(rand.NewPCG(b.rng.Uint64(), 2)).Perm(len(lives))[:int(greyShare*float64(len(lives)))]
	for _, l := range lives {
		l.grey = false
	}
	if !grey {
		b.log("no worker fails what it starts any more")
		return
	}
	for _, n := range picks {
		lives[n].grey = true
		b.log("%s fails all that it starts", lives[n].id)
	}
}

// checkGang checks that a gang is shown as failed only once it has failed as often as its queue allows.
func (b *bed) checkGang(id, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := map[int]int{}
	most := 0
	for index := range gangMembers {
		task := fmt.Sprintf("%s.0.0.%d", id, index)
		for number := range b.failures[task] {
			runs[number]++
		}
		most = max(most, len(b.failures[task]))
	}
	b.log("GET %s -> %s; runs of the gang with a member that failed, and how many did: %v", id, state, runs)
	if state == "failed" && len(runs) < gangAttempts {
		b.violate("LOST: job %s is shown as failed after %d failed run(s) of its gang, no task failed more than %d time(s); the queue allows %d attempts", id, len(runs), most, gangAttempts)
	}
}
