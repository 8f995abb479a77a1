package claim

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// Errors of idempotency keys.
var (
	ErrKeyInvalid = errors.New("idempotency key is invalid")
	ErrKeyExpired = errors.New("idempotency key is older than its window")
	ErrKeyFuture  = errors.New("idempotency key is issued too far in the future")
)

// ParseIssued returns the issue time of a key in Unix seconds. It parses issuedHeader or,
// when that is empty, the part of the key before the first hyphen. The error wraps
// ErrKeyInvalid.
func ParseIssued(key, issuedHeader string) (int64, error) {
	if key == "" || len(key) > MaxKeyBytes {
		return 0, fmt.Errorf("%w: its length must be 1 to %d bytes", ErrKeyInvalid, MaxKeyBytes)
	}
	text := issuedHeader
	if text == "" {
		text, _, _ = strings.Cut(key, "-")
	}
	issued, err := strconv.ParseInt(text, 10, 64)
	if err != nil || issued <= 0 {
		return 0, fmt.Errorf("%w: %q is not an issue time in Unix seconds", ErrKeyInvalid, text)
	}
	return issued, nil
}

// CheckAge compares the issue time of a key with a daemon's clock and returns
// ErrKeyExpired, ErrKeyFuture or nil. It keeps claims off the log that would be refused
// there; on all others, the log's time decides. skew is allowed in both directions,
// because the clocks of callers and daemons differ.
func CheckAge(issued int64, window, skew time.Duration, now time.Time) error {
	age := now.Sub(time.Unix(issued, 0))
	switch {
	case age > window+skew:
		return ErrKeyExpired
	case age < -skew:
		return ErrKeyFuture
	}
	return nil
}
