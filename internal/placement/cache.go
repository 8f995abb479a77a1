package placement

import (
	"cmp"
	"maps"
	"slices"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// cacheCapacityShare is the share of an engine's KV cache that new tokens may fill
	// before a part that is not used in the meantime is assumed to be evicted. The rest is
	// occupied by running requests.
	cacheCapacityShare = 0.9
	// minSweepSize is the smallest number of parts at which evicted parts are removed.
	minSweepSize = 256
	// maxCachedParts is the number of parts at which the half that was not used for longest is removed. Clients choose the
	// names and sizes of parts, so that the tokens alone bound their number too loosely.
	maxCachedParts = 4096
)

// partCache predicts which parts of prompts an engine has in its KV cache. It assumes
// eviction in LRU order: a part is kept until the requests of all daemons have stored
// capacity tokens after its last use.
type partCache struct {
	// capacity is the number of tokens that can be stored after the last use of a part
	// before the part is evicted.
	capacity int64
	// stored counts the tokens that all daemons' requests have stored in the KV cache,
	// storedLocally those of this daemon's requests.
	stored        int64
	storedLocally int64
	// storedAtEstimate is the value of stored when estimateStoredInOtherCells last ran.
	storedAtEstimate int64
	// parts holds the cached parts by id.
	parts map[string]cachedPart
	// nextSweepSize is the number of parts at which evicted parts are removed next.
	nextSweepSize int
}

type cachedPart struct {
	// lastUse is the value of partCache.stored when the part was last used.
	lastUse int64
}

// contains reports whether a part is expected to be cached.
func (c *partCache) contains(id string) bool {
	part, ok := c.parts[id]
	return ok && c.stored-part.lastUse <= c.capacity
}

// cached returns the number of cached tokens at the start of a prompt. A part counts only
// if all parts before it are cached too.
func (c *partCache) cached(p *port.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		if !c.contains(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, p.InputTokens)
}

// add records that the engine has prefilled or fetched the parts for a local request.
func (c *partCache) add(parts []port.PromptPart) {
	for _, part := range c.missing(parts) {
		c.stored += int64(part.Tokens)
		c.storedLocally += int64(part.Tokens)
	}
	c.touch(parts)
}

// touch marks the parts as used without adding their tokens to the stored ones. It removes
// evicted parts if there are many entries.
func (c *partCache) touch(parts []port.PromptPart) {
	if c.parts == nil {
		c.parts = map[string]cachedPart{}
	}
	for _, part := range parts {
		c.parts[part.ID] = cachedPart{lastUse: c.stored}
	}
	if len(c.parts) >= min(max(minSweepSize, c.nextSweepSize), maxCachedParts) {
		c.removeEvicted()
	}
	if len(c.parts) >= maxCachedParts {
		c.removeOldest(maxCachedParts / 2)
	}
}

// removeOldest removes n parts that were not used for longest.
func (c *partCache) removeOldest(n int) {
	ids := slices.SortedFunc(maps.Keys(c.parts), func(a, b string) int { return cmp.Compare(c.parts[a].lastUse, c.parts[b].lastUse) })
	for _, id := range ids[:n] {
		delete(c.parts, id)
	}
}

// missing returns the parts that are not expected to be cached.
func (c *partCache) missing(parts []port.PromptPart) []port.PromptPart {
	var out []port.PromptPart
	for _, part := range parts {
		if !c.contains(part.ID) {
			out = append(out, part)
		}
	}
	return out
}

// removeEvicted removes the parts that are expected to be evicted.
func (c *partCache) removeEvicted() {
	for id := range c.parts {
		if !c.contains(id) {
			delete(c.parts, id)
		}
	}
	c.nextSweepSize = 2 * len(c.parts)
}

// clear removes all entries and counters, as after a restart of the engine.
func (c *partCache) clear() {
	*c = partCache{capacity: c.capacity}
}
