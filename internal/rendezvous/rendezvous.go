// Package rendezvous chooses nodes for a key by highest random weight (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998). All
// callers with the same nodes choose alike, and a node that leaves moves only its
// own keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never fails.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Top returns up to k nodes for a key, the first choice first.
func Top(key string, nodes []string, k int) []string {
	type weighted struct {
		node   string
		weight uint64
	}
	ranked := make([]weighted, len(nodes))
	for i, n := range nodes {
		ranked[i] = weighted{node: n, weight: Weight(key, n)}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	out := make([]string, 0, min(k, len(ranked)))
	for _, r := range ranked[:min(k, len(ranked))] {
		out = append(out, r.node)
	}
	return out
}
