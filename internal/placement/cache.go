package placement

import "bergamotsill.example/bergamotsill/internal/port"

const (
	// cacheShare is the part of an engine's memory that new tokens may fill before a part
	// of a prompt that was not used since is taken to have yielded. The rest is held by
	// parts that are used again and again.
	cacheShare = 0.6
	// sweepLeast is the number of parts from which those that yielded are dropped.
	sweepLeast = 256
)

// partCache predicts which parts of prompts an engine keeps. The least recently used ones
// yield, so that a part is kept until a certain amount has been written after its last use,
// by the requests of whatever daemon.
type partCache struct {
	// capacity is in tokens.
	capacity int64
	// written counts the tokens that all daemons had written into the engine's memory,
	// writtenHere those of this daemon's requests.
	written     int64
	writtenHere int64
	// assumed is written as it was when other cells were last taken to do the same.
	assumed int64
	parts   map[string]cachedPart
	sweepAt int
}

type cachedPart struct {
	// used is the count of written tokens at the last use.
	used int64
}

// keeps tells whether a part is expected to be there.
func (c *partCache) keeps(id string) bool {
	part, ok := c.parts[id]
	return ok && c.written-part.used <= c.capacity
}

// cached returns the tokens at the start of a prompt that are cached. A part counts only
// if all parts before it are cached too.
func (c *partCache) cached(p *port.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		if !c.keeps(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, p.InputTokens)
}

// add notes that the engine has read or fetched the parts for a request of this daemon.
func (c *partCache) add(parts []port.PromptPart) {
	for _, part := range c.unknown(parts) {
		c.written += int64(part.Tokens)
		c.writtenHere += int64(part.Tokens)
	}
	c.use(parts)
}

// use notes that the parts were used, without counting what was written for it.
func (c *partCache) use(parts []port.PromptPart) {
	if c.parts == nil {
		c.parts = map[string]cachedPart{}
	}
	for _, part := range parts {
		c.parts[part.ID] = cachedPart{used: c.written}
	}
	if len(c.parts) >= max(sweepLeast, c.sweepAt) {
		c.sweep()
	}
}

// unknown returns the parts that the engine is not known to keep.
func (c *partCache) unknown(parts []port.PromptPart) []port.PromptPart {
	var out []port.PromptPart
	for _, part := range parts {
		if !c.keeps(part.ID) {
			out = append(out, part)
		}
	}
	return out
}

// sweep drops the parts that yielded.
func (c *partCache) sweep() {
	for id := range c.parts {
		if !c.keeps(id) {
			delete(c.parts, id)
		}
	}
	c.sweepAt = 2 * len(c.parts)
}

// clear forgets everything, as after a restart.
func (c *partCache) clear() {
	*c = partCache{capacity: c.capacity}
}
