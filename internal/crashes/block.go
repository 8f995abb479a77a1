package crashes

import "time"

const (
	// Retention is how long a loss counts, and how long a trait is blocked at first. Each crash
	// after the end of a block doubles the time, up to maxBlock.
	Retention = time.Minute
	maxBlock  = time.Hour
	// maxBlocks bounds the traits that are blocked or remembered as blocked.
	maxBlocks = 4096
)

// Block is the decision to refuse requests with a trait.
type Block struct {
	Trait Trait
	// Runners is the number of runners that terminated during requests with the trait.
	Runners int
	// LastCrash is the time of the last loss that counts against the trait.
	LastCrash time.Time
	// For is the length of the block, Until its end.
	For   time.Duration
	Until time.Time
}

// forgottenAt returns the time until which a further crash lengthens the block.
func (b *Block) forgottenAt() time.Time { return b.Until.Add(b.For) }

// active reports whether requests are refused at a time.
func (b *Block) active(now time.Time) bool { return now.Before(b.Until) }

// extend blocks the trait again for twice the time because of a further crash.
func (b *Block) extend(crash, now time.Time) {
	b.Runners++
	b.LastCrash = crash
	b.For = min(maxBlock, 2*b.For)
	b.Until = now.Add(b.For)
}
