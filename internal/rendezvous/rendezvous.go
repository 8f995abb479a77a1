// Package rendezvous assigns keys to nodes by highest random weight (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998). All callers with
// the same nodes make the same choice, and the removal of a node moves only the keys that
// were assigned to it.
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
	// Writes to a hash never fail.
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

// Top returns up to k nodes for a key, the most preferred one first.
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

// compare orders nodes by descending weight, then by name.
func compare(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// insert adds a node to the list, which is sorted by compare, and returns its first k nodes.
func insert(best []weighted, w weighted, k int) []weighted {
	i, _ := slices.BinarySearchFunc(best, w, compare)
	best = slices.Insert(best, i, w)
	return best[:min(k, len(best))]
}

// First returns the preferred node for a key, or "" if there are no nodes.
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
