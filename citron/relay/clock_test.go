package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An estimate ahead of the remote clock would let a daemon that was suspended carry out an order that nobody waits for any more.
func TestEstimateIsNotAheadOfTheRemoteClock(t *testing.T) {
	const (
		maxDelay = 200 * time.Millisecond
		// maxDrift is the greatest difference in the speed of two clocks, which counts for two windows and a pause at most.
		maxDrift = 0.02
		maxPause = 5 * time.Second
		maxAhead = time.Duration(maxDrift * float64(2*clockWindow+maxPause))
	)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ahead, speed := time.Duration(rng.Int64N(int64(time.Hour))), 1+maxDrift*(2*rng.Float64()-1)
		remote := func(local time.Duration) time.Duration { return ahead + time.Duration(float64(local)*speed) }
		var c remoteClock
		now := time.Minute
		for range 400 {
			delay := time.Duration(rng.Int64N(int64(maxDelay)))
			if rng.IntN(50) == 0 {
				delay = time.Duration(rng.Int64N(int64(maxPause)))
			}
			reading := remote(now)
			now += delay
			c.record(now, reading)
			now += time.Duration(rng.Int64N(int64(maxDelay)))
			if lead := c.at(now) - remote(now); lead > maxAhead {
				t.Fatalf("seed %d: the estimate is %v ahead, at most %v is allowed", seed, lead, maxAhead)
			}
		}
		if lag := remote(now) - c.at(now); lag > maxDelay+maxAhead {
			t.Errorf("seed %d: the estimate is %v behind, though a message takes %v at most", seed, lag, maxDelay)
		}
	}
}
