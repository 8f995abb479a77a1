package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// cacheShare is the part of an engine's memory that is expected to keep parts of
// prompts; running requests take the rest.
const cacheShare = 0.6

// partCache predicts which parts of prompts an engine keeps. The least recently used
// ones yield.
type partCache struct {
	// capacity is in tokens.
	capacity int
	used     int
	parts    map[string]cachedPart
}

type cachedPart struct {
	tokens int
	used   time.Time
}

// cached returns the tokens at the start of a prompt that are cached. A part counts only
// if all parts before it are cached too.
func (c *partCache) cached(p *port.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		if _, ok := c.parts[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, p.InputTokens)
}

// add notes that the engine has read the parts.
func (c *partCache) add(parts []port.PromptPart, now time.Time) {
	if c.parts == nil {
		c.parts = map[string]cachedPart{}
	}
	for _, part := range parts {
		old, ok := c.parts[part.ID]
		if ok {
			c.used -= old.tokens
		}
		c.parts[part.ID] = cachedPart{tokens: part.Tokens, used: now}
		c.used += part.Tokens
	}
	for c.used > c.capacity && len(c.parts) > 0 {
		c.evict()
	}
}

// unknown returns the parts that the engine is not known to keep.
func (c *partCache) unknown(parts []port.PromptPart) []port.PromptPart {
	var out []port.PromptPart
	for _, part := range parts {
		if _, ok := c.parts[part.ID]; !ok {
			out = append(out, part)
		}
	}
	return out
}

// evict forgets the least recently used part.
func (c *partCache) evict() {
	var oldest string
	for id, part := range c.parts {
		if oldest == "" || part.used.Before(c.parts[oldest].used) {
			oldest = id
		}
	}
	c.used -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

// clear forgets everything, as after a restart.
func (c *partCache) clear() {
	c.parts = nil
	c.used = 0
}
