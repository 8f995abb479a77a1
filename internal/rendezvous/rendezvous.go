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

// weighted is a node with its weight for some key.
type weighted struct {
	node   string
	weight uint64
}

// Top returns up to k nodes for a key, the first choice first.
func Top(key string, nodes []string, k int) []string {
	best := make([]weighted, 0, k+1)
	for _, n := range nodes {
		best = insert(best, weighted{node: n, weight: Weight(key, n)}, k)
	}
	out := make([]string, len(best))
	for i, w := range best {
		out[i] = w.node
	}
	return out
}

// compare orders nodes by falling weight, then by name.
func compare(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// insert keeps the k nodes of the highest weight in order.
func insert(best []weighted, w weighted, k int) []weighted {
	i, _ := slices.BinarySearchFunc(best, w, compare)
	best = slices.Insert(best, i, w)
	return best[:min(k, len(best))]
}

// First returns the first choice for a key, or "" when there are no nodes.
func First(key string, nodes []string) string {
	var best weighted
	for _, n := range nodes {
		w := weighted{node: n, weight: Weight(key, n)}
		if best.node == "" || compare(w, best) < 0 {
			best = w
		}
	}
	return best.node
}
