package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"sync"
)

// idBytes is the length of an id before it is written in hexadecimal.
const idBytes = 8

// idGenerator makes idGenerator from a source of random bytes. It is safe for concurrent use.
type idGenerator struct {
	mu     sync.Mutex
	source io.Reader
}

// newIDGenerator returns ids from a source, or from the operating system's when it is nil.
func newIDGenerator(source io.Reader) *idGenerator {
	if source == nil {
		source = rand.Reader
	}
	return &idGenerator{source: source}
}

func (i *idGenerator) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var b [idBytes]byte
	if _, err := io.ReadFull(i.source, b[:]); err != nil {
		// Ids that are not unique could run a claimed call twice.
		panic(fmt.Sprintf("read random bytes: %v", err))
	}
	return hex.EncodeToString(b[:])
}
