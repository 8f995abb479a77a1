package crashes

import "time"

const (
	// retention is how long a loss counts.
	retention = time.Minute
	// firstTrialDelay is the time from the block of a trait after minCrashes crashes to its first
	// trial. It is long enough for other losses of the same crashes to be confirmed.
	firstTrialDelay = 5 * time.Second
	// trialDelayGrowth multiplies the time to the next trial for each further crash: a trait that
	// crashes runners each time crashes few more of them.
	trialDelayGrowth = 3
	// MaxTrialDelay bounds the time to the next trial.
	MaxTrialDelay = time.Hour
	// jointTrialDelay is the further delay for each further suspect trait of a request.
	jointTrialDelay = 20 * time.Second
	// blockMemory is how long after the time of its next trial a trait is remembered if no request
	// with it comes.
	blockMemory = 2 * time.Hour
	// maxBlocks bounds the blocked traits.
	maxBlocks = 4096
)

// Block is the decision to refuse requests with a trait. A block has no end: from NextTrial on, one
// request at a time may be tried, and a completed one clears the trait.
type Block struct {
	Trait Trait `json:"trait"`
	// Crashes is the number of crashes that count against the trait, LastCrash the time of the last
	// one.
	Crashes   int       `json:"crashes"`
	LastCrash time.Time `json:"last_crash"`
	NextTrial time.Time `json:"next_trial"`
	// firstCrash is the time of the first crash that counts; the zero time if another process has
	// decided the block.
	firstCrash time.Time
}

// setCrashes sets the number of crashes and the time of the first and the last one, and the time of
// the next trial accordingly.
func (b *Block) setCrashes(crashes int, first, last, now time.Time) {
	b.Crashes, b.firstCrash, b.LastCrash = crashes, first, last
	delay := firstTrialDelay
	for i := minCrashes; i < crashes && delay < MaxTrialDelay; i++ {
		delay = min(MaxTrialDelay, trialDelayGrowth*delay)
	}
	b.NextTrial = now.Add(delay)
}

// refutedBy reports whether a request with the trait that completed at a time shows that the trait is
// not to blame. A completion before the last crash does not: the trait may crash runners since.
func (b *Block) refutedBy(completion time.Time) bool { return !completion.Before(b.LastCrash) }

// forgotten reports whether the block no longer matters.
func (b *Block) forgotten(now time.Time) bool { return now.After(b.NextTrial.Add(blockMemory)) }
