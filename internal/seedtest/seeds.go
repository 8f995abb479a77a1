// Package seedtest provides the seeds of randomised tests.
package seedtest

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// defaultCount is the number of seeds if BERGAMOT_SEEDS is not set.
const defaultCount = 5

// Seeds returns the seeds 1 to 5, or 1 to n if the environment variable BERGAMOT_SEEDS
// is n.
func Seeds() []uint64 {
	count := defaultCount
	if v, err := strconv.Atoi(os.Getenv("BERGAMOT_SEEDS")); err == nil {
		count = v
	}
	out := make([]uint64, count)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

// Run runs f as a subtest for each seed and returns when all have ended. The subtests
// run in parallel, so f must not share state between seeds without a lock.
func Run(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Helper()
	// Parallel subtests run only after the function that starts them has returned, so
	// a parent subtest is needed to wait for them.
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range Seeds() {
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				f(t, seed)
			})
		}
	})
}
