package port

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a key of an organisation. Keys are kept and compared as digests only, so that
// neither the time of a comparison nor a dump of the process tells how much of a guessed key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Organisation is a customer whose clients identify themselves by keys.
type Organisation struct {
	Name string
	Keys []KeyDigest
	// Rank replaces the rank of the route for requests of the organisation; nil leaves it.
	Rank *int
}
