package bench

import "container/list"

// prefixCache is the prefix cache of a simulated engine. It evicts the least recently used entries
// beyond its capacity in tokens.
type prefixCache[K comparable] struct {
	capacity int
	tokens   int
	// recent lists the entries, the most recently used first; elements holds its elements by key.
	recent   *list.List
	elements map[K]*list.Element
}

type prefixEntry[K comparable] struct {
	key    K
	tokens int
}

func newPrefixCache[K comparable](capacity int) *prefixCache[K] {
	return &prefixCache[K]{capacity: capacity, recent: list.New(), elements: map[K]*list.Element{}}
}

// contains reports whether an entry is cached.
func (c *prefixCache[K]) contains(key K) bool {
	_, ok := c.elements[key]
	return ok
}

// use marks an entry as used and reports whether it is cached.
func (c *prefixCache[K]) use(key K) bool {
	element, ok := c.elements[key]
	if ok {
		c.recent.MoveToFront(element)
	}
	return ok
}

// add caches an entry. It has no effect if the entry is cached.
func (c *prefixCache[K]) add(key K, tokens int) {
	if c.contains(key) {
		return
	}
	c.elements[key] = c.recent.PushFront(prefixEntry[K]{key, tokens})
	c.tokens += tokens
	for c.tokens > c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(prefixEntry[K])
		delete(c.elements, oldest.key)
		c.tokens -= oldest.tokens
	}
}
