package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"sync"
)

// idBytes is the length of an id in bytes before hexadecimal encoding.
const idBytes = 8

// idGenerator generates ids from a source of random bytes. It is safe for
// concurrent use.
type idGenerator struct {
	mu     sync.Mutex
	source io.Reader
}

// newIDGenerator returns a generator that reads from source, or from the operating
// system's random source if source is nil.
func newIDGenerator(source io.Reader) *idGenerator {
	if source == nil {
		source = rand.Reader
	}
	return &idGenerator{source: source}
}

// next returns a new id. It panics if the source fails.
func (g *idGenerator) next() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var b [idBytes]byte
	if _, err := io.ReadFull(g.source, b[:]); err != nil {
		// Duplicate ids could make a claimed call run twice.
		panic(fmt.Sprintf("read random bytes: %v", err))
	}
	return hex.EncodeToString(b[:])
}
