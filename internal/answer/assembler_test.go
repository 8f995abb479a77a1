package answer

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"bergamotsill.example/bergamotsill/internal/port"
)

// oracle restates the assembler over the list of all chunks of the attempt.
type oracle struct {
	attempt int
	// base is the position at which the attempt began.
	base int
	// kept holds the chunks of the attempt that were not dropped, oldest first.
	kept []port.Chunk
	// delivered names the tokens delivered by all attempts.
	delivered []string
	verdict   Decision
}

// walk follows the chunks from the base and returns the position reached and the
// end marker, if the walk meets it.
func (o oracle) walk() (next int, tokens []string, end *port.Chunk) {
	next = o.base
	for {
		i := slices.IndexFunc(o.kept, func(c port.Chunk) bool { return c.Position == next })
		if i < 0 {
			return next, tokens, nil
		}
		c := o.kept[i]
		for j := range c.Tokens {
			tokens = append(tokens, token(o.attempt, next+j))
		}
		next += c.Tokens
		if c.Done {
			return next, tokens, &c
		}
	}
}

func token(attempt, position int) string { return fmt.Sprintf("%d:%d ", attempt, position) }

func (o oracle) begin(attempt int) oracle {
	next, tokens, _ := o.walk()
	return oracle{attempt: attempt, base: next, delivered: append(slices.Clone(o.delivered), tokens...), verdict: Deliver}
}

// accept returns the oracle after a chunk.
func (o oracle) accept(c port.Chunk) oracle {
	next, _, _ := o.walk()
	waiting := 0
	for _, k := range o.kept {
		if k.Position > next {
			waiting++
		}
	}
	repeated := slices.ContainsFunc(o.kept, func(k port.Chunk) bool { return k.Position == c.Position })
	switch {
	case o.ended() || c.Attempt != o.attempt || c.Position < next || repeated || (c.Tokens <= 0 && !c.Done):
		o.verdict = Drop
		return o
	case c.Position > next && waiting == maxBuffered:
		o.verdict = Gap
		return o
	}
	o.kept = append(slices.Clone(o.kept), c)
	reached, _, end := o.walk()
	switch {
	case end != nil && end.OutputTokens > reached:
		o.verdict = Gap
	case end != nil:
		o.verdict = End
	case reached == next:
		o.verdict = Buffer
	default:
		o.verdict = Deliver
	}
	return o
}

func (o oracle) ended() bool { return o.verdict == End || (o.verdict == Drop && o.whole()) }

func (o oracle) whole() bool {
	reached, _, end := o.walk()
	return end != nil && end.OutputTokens <= reached
}

// assembly is the assembler with what it delivered.
type assembly struct {
	assembler Assembler
	delivered []string
	verdict   Decision
}

func (a *assembly) accept(c port.Chunk) {
	result := a.assembler.Accept(c)
	a.verdict = result.Decision
	for _, r := range result.Ready {
		for i := range r.Tokens {
			a.delivered = append(a.delivered, token(r.Attempt, r.Position+i))
		}
	}
}

func checkAssembly(state commands.State, result commands.Result) *gopter.PropResult {
	o, a := state.(oracle), result.(*assembly)
	next, tokens, _ := o.walk()
	want := append(slices.Clone(o.delivered), tokens...)
	for i, t := range a.delivered {
		var attempt, position int
		if n, _ := fmt.Sscanf(t, "%d:%d", &attempt, &position); n != 2 || position != i {
			return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{"token out of place: " + t}}
		}
	}
	ok := slices.Equal(a.delivered, want) && a.assembler.Next() == next && a.verdict == o.verdict && a.assembler.Done() == o.whole()
	if !ok {
		label := fmt.Sprintf("got %q verdict %d, want %q verdict %d", a.delivered, a.verdict, want, o.verdict)
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{label}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func beginCommand(attempt int) commands.Command {
	return &commands.ProtoCommand{
		Name: fmt.Sprintf("begin %d", attempt),
		RunFunc: func(s commands.SystemUnderTest) commands.Result {
			a := s.(*assembly)
			a.assembler.Begin(attempt)
			a.verdict = Deliver
			return a
		},
		PreConditionFunc:  func(s commands.State) bool { return attempt > s.(oracle).attempt && !s.(oracle).whole() },
		NextStateFunc:     func(s commands.State) commands.State { return s.(oracle).begin(attempt) },
		PostConditionFunc: checkAssembly,
	}
}

func acceptCommand(c port.Chunk) commands.Command {
	return &commands.ProtoCommand{
		Name: fmt.Sprintf("accept %+v", c),
		RunFunc: func(s commands.SystemUnderTest) commands.Result {
			a := s.(*assembly)
			a.accept(c)
			return a
		},
		// After a gap the attempt is over.
		PreConditionFunc:  func(s commands.State) bool { return s.(oracle).verdict != Gap },
		NextStateFunc:     func(s commands.State) commands.State { return s.(oracle).accept(c) },
		PostConditionFunc: checkAssembly,
	}
}

// nextCommand generates a command near the position reached, so that most chunks
// matter.
func nextCommand(s commands.State) gopter.Gen {
	o := s.(oracle)
	next, _, _ := o.walk()
	if o.verdict == Gap {
		return gen.Const(beginCommand(o.attempt + 1))
	}
	return gen.SliceOfN(5, gen.IntRange(0, 99)).Map(func(r []int) commands.Command {
		if r[0] < 4 {
			return beginCommand(o.attempt + 1)
		}
		c := port.Chunk{Attempt: o.attempt, Position: max(0, next-2+r[1]%7), Tokens: r[2] % 3}
		if r[3] < 15 {
			c.Attempt--
		}
		if r[3] >= 40 {
			c.Position = next + 1 + r[1]%50
		}
		if r[4] < 8 {
			c.Done = true
			c.OutputTokens = c.Position + c.Tokens + r[4]%3
		}
		return acceptCommand(c)
	})
}

// Guards against an answer with a token that is missing, repeated, out of order or
// from an older attempt, and against one that ends before its last token.
func TestAssemblerMatchesOracle(t *testing.T) {
	runs := 300
	if n, err := strconv.Atoi(os.Getenv("BERGAMOT_SEEDS")); err == nil {
		runs = 60 * n
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = runs
	properties := gopter.NewProperties(parameters)
	properties.Property("assembler matches the oracle", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			a := &assembly{}
			a.assembler.Begin(1)
			return a
		},
		InitialStateGen: gen.Const(oracle{attempt: 1}),
		GenCommandFunc:  nextCommand,
	}))
	properties.TestingRun(t)
}
