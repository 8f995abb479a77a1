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

// ids makes ids from a source of random bytes. It is safe for concurrent use.
type ids struct {
	mu     sync.Mutex
	source io.Reader
}

// newIDs returns ids from a source, or from the operating system's when it is nil.
func newIDs(source io.Reader) *ids {
	if source == nil {
		source = rand.Reader
	}
	return &ids{source: source}
}

func (i *ids) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var b [idBytes]byte
	if _, err := io.ReadFull(i.source, b[:]); err != nil {
		// Ids that are not unique could run a claimed call twice.
		panic(fmt.Sprintf("read random bytes: %v", err))
	}
	return hex.EncodeToString(b[:])
}
