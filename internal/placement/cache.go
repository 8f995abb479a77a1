package placement

import "bergamotsill.example/bergamotsill/internal/port"

const (
	// cacheCapacityShare is the part of an engine's memory that new tokens may fill before a part
	// of a prompt that was not used since is taken to have yielded. The rest is held by
	// parts that are used again and again.
	cacheCapacityShare = 0.6
	// minSweepSize is the number of parts from which those that yielded are dropped.
	minSweepSize = 256
)

// partCache predicts which parts of prompts an engine keeps. The least recently used ones
// yield, so that a part is kept until a certain amount has been written after its last use,
// by the requests of whatever daemon.
type partCache struct {
	// capacity is in tokens.
	capacity int64
	// stored counts the tokens that all daemons had stored into the engine's memory,
	// writtenHere those of this daemon's requests.
	stored        int64
	storedLocally int64
	// storedAtEstimate is written as it was when other cells were last taken to do the same.
	storedAtEstimate int64
	parts            map[string]cachedPart
	nextSweepSize    int
}

type cachedPart struct {
	// lastUse is the count of written tokens at the last use.
	lastUse int64
}

// contains tells whether a part is expected to be there.
func (c *partCache) contains(id string) bool {
	part, ok := c.parts[id]
	return ok && c.stored-part.lastUse <= c.capacity
}

// cached returns the tokens at the start of a prompt that are cached. A part counts only
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

// add notes that the engine has read or fetched the parts for a request of this daemon.
func (c *partCache) add(parts []port.PromptPart) {
	for _, part := range c.missing(parts) {
		c.stored += int64(part.Tokens)
		c.storedLocally += int64(part.Tokens)
	}
	c.touch(parts)
}

// touch notes that the parts were used, without counting what was written for it.
func (c *partCache) touch(parts []port.PromptPart) {
	if c.parts == nil {
		c.parts = map[string]cachedPart{}
	}
	for _, part := range parts {
		c.parts[part.ID] = cachedPart{lastUse: c.stored}
	}
	if len(c.parts) >= max(minSweepSize, c.nextSweepSize) {
		c.removeEvicted()
	}
}

// missing returns the parts that the engine is not known to keep.
func (c *partCache) missing(parts []port.PromptPart) []port.PromptPart {
	var out []port.PromptPart
	for _, part := range parts {
		if !c.contains(part.ID) {
			out = append(out, part)
		}
	}
	return out
}

// removeEvicted drops the parts that yielded.
func (c *partCache) removeEvicted() {
	for id := range c.parts {
		if !c.contains(id) {
			delete(c.parts, id)
		}
	}
	c.nextSweepSize = 2 * len(c.parts)
}

// clear forgets everything, as after a restart.
func (c *partCache) clear() {
	*c = partCache{capacity: c.capacity}
}
