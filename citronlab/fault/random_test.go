package fault

import "math/rand/v2"

// newRandom returns a generator with a fixed seed, so that the test cases are the same in every run.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
