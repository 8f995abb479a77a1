package crashes

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Loss is a request that was in flight when its runner terminated.
type Loss struct {
	// Traits holds the traits that may have caused the termination.
	Traits Traits
	// Runner is the id of the runner. Start, in Unix milliseconds, distinguishes the incarnations of
	// a runner with the same id.
	Runner string
	Start  int64
	At     time.Time
	// Retry is set if the request was sent to the runner because an earlier one had failed it. Then
	// the runners did not terminate with several such requests by chance.
	Retry bool
	// Began is set if the runner had begun to answer the request before it terminated. A request that
	// crashes each runner that begins to run it is then a less likely cause.
	Began bool
}

// incarnation identifies one start of a runner.
type incarnation struct {
	runner string
	start  int64
}

func (l *Loss) incarnation() incarnation { return incarnation{l.Runner, l.Start} }

// lossKey identifies a request at a runner.
type lossKey struct {
	incarnation
	request string
}

func (l *Loss) key() lossKey {
	var request strings.Builder
	for _, t := range l.Traits.All() {
		request.WriteString(string(t))
		request.WriteByte(0)
	}
	return lossKey{l.incarnation(), request.String()}
}

// withoutTraits returns l without the traits for which drop returns true. It does not change the
// slices of l.
func (l Loss) withoutTraits(drop func(Trait) bool) Loss {
	if l.Traits.Content != "" && drop(l.Traits.Content) {
		l.Traits.Content = ""
	}
	l.Traits.Parts = slices.DeleteFunc(slices.Clone(l.Traits.Parts), drop)
	return l
}

// suspectless reports whether no trait is left that may have caused the termination.
func (l *Loss) suspectless() bool { return l.Traits.Content == "" && len(l.Traits.Parts) == 0 }

// follower identifies what follows a prompt part: the next part, or the content after the last part.
// A request without a content is taken to differ from all others.
func (l *Loss) follower(part int) string {
	switch {
	case part+1 < len(l.Traits.Parts):
		return string(l.Traits.Parts[part+1])
	case l.Traits.Content != "":
		return string(l.Traits.Content)
	}
	return l.Runner + " " + strconv.FormatInt(l.Start, 10)
}
