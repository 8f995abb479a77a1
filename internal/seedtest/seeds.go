// Package seedtest gives tests their seeds.
package seedtest

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// defaultCount is the number of seeds in CI.
const defaultCount = 5

// Seeds returns the seeds 1 to 5, or as many as the variable BERGAMOT_SEEDS says.
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

// Run runs f as a subtest for each seed and returns when all have ended. Subtests
// run in parallel, so f must not share state between seeds without a lock.
func Run(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Helper()
	// Parallel subtests run after the function that starts them has returned, so
	// they need a group to wait for.
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range Seeds() {
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				f(t, seed)
			})
		}
	})
}
