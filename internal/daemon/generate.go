package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/answer"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// maxAttempts bounds the attempts at one request.
const maxAttempts = 5

// errCallerGone reports that the answer could not be passed on.
var errCallerGone = errors.New("caller is gone")

// errUpstreamClosed reports that an engine was drained or withdrawn after it was
// chosen; nothing was sent to it.
var errUpstreamClosed = errors.New("engine is closed to new requests")

// generation is one request to an engine. It keeps the snapshot it started with.
type generation struct {
	call      *call
	snapshot  *profile.Snapshot
	profile   *profile.Profile
	prompt    string
	maxTokens int
	out       *responder

	assembler  answer.Assembler
	excluded   map[string]bool
	firstToken time.Time
	last       port.Chunk
}

// generate runs a request until its answer is whole.
func (d *Daemon) generate(ctx context.Context, g *generation) error {
	g.excluded = map[string]bool{}
	err := d.attempts(ctx, g)
	if err == nil {
		err = g.out.Finish(g.last)
	}
	d.account(g, err)
	if err != nil && g.out.Begun() {
		// The caller is told inside the stream; it may be gone.
		_ = g.out.Fail(refusal.From(err))
		return &begunError{err: err}
	}
	return err
}

func (d *Daemon) attempts(ctx context.Context, g *generation) error {
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		u := d.route(g, attempt)
		if u == nil {
			return g.refuseNoUpstream(attempt)
		}
		err := d.attempt(ctx, g, u, attempt)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return refusal.NewUnknown(refusal.Incomplete, "the caller left before the answer was whole")
		}
		g.call.log.Warn("attempt failed",
			zap.String("upstream", u.VM.ID),
			zap.Int("attempt", attempt),
			zap.Int("position", g.assembler.Next()),
			zap.Error(err),
		)
		g.excluded[u.VM.ID] = true
	}
	return refusal.NewUnknown(refusal.Incomplete, "the answer is not whole after %d attempts", maxAttempts)
}

func (g *generation) refuseNoUpstream(attempt int) error {
	if attempt == 1 {
		return refusal.New(refusal.NoUpstream, "no engine of pool %q serves model %q", g.profile.Pool, g.profile.Model).After(time.Second)
	}
	return refusal.NewUnknown(refusal.Incomplete, "no engine is left to resume the answer")
}

func (d *Daemon) route(g *generation, attempt int) *routing.Upstream {
	u := d.fleet.Table().Pick(routing.Request{
		Pool:       g.profile.Pool,
		Model:      g.profile.Model,
		DataCentre: d.settings.DataCentre,
		Excluded:   g.excluded,
	})
	verdict := "none"
	if u != nil {
		verdict = u.VM.ID
	}
	d.decisions.Add(decision.Record{
		Time:    time.Now(),
		Subject: g.call.id,
		Stage:   "routing",
		Verdict: verdict,
		Inputs: []decision.Input{
			decision.In("attempt", attempt),
			decision.In("profile", g.profile.Name),
			decision.In("revision", g.snapshot.Revision),
			decision.In("position", g.assembler.Next()),
		},
	})
	return u
}

// attempt runs one attempt at an engine from the position reached.
func (d *Daemon) attempt(ctx context.Context, g *generation, u *routing.Upstream, number int) error {
	end, ok := u.TryBegin()
	if !ok {
		return errUpstreamClosed
	}
	defer end()
	d.metrics.Attempts.Add(1)
	if number > 1 {
		d.metrics.Resumed.Add(1)
	}
	g.assembler.Begin(number)
	stream, err := u.Engine.Generate(ctx, port.GenerateRequest{
		RequestID: g.call.id,
		Attempt:   number,
		Model:     g.profile.Model,
		Prompt:    g.prompt,
		MaxTokens: g.maxTokens,
		Priority:  g.profile.Rank.Priority(),
		From:      g.assembler.Next(),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	return d.receive(g, stream)
}

func (d *Daemon) receive(g *generation, stream port.ChunkStream) error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		switch g.assembler.Accept(chunk) {
		case answer.Deliver:
			if err := g.deliver(chunk); err != nil {
				return err
			}
		case answer.Drop:
			d.metrics.ChunksDropped.Add(1)
		case answer.Gap:
			return errors.New("chunks are missing")
		case answer.End:
			g.last = chunk
			return nil
		}
	}
}

func (g *generation) deliver(chunk port.Chunk) error {
	if g.firstToken.IsZero() {
		g.firstToken = time.Now()
	}
	if err := g.out.Write(chunk.Text); err != nil {
		return errCallerGone
	}
	return nil
}

// account counts the result for the burn report.
func (d *Daemon) account(g *generation, err error) {
	d.burn.Count(g.profile, g.result(err))
}

func (g *generation) result(err error) burn.Result {
	switch {
	case err == nil && g.withinTarget():
		return burn.AnsweredWithin
	case err == nil:
		return burn.AnsweredLate
	case refusal.From(err).Outcome == refusal.NotRun:
		return burn.Refused
	}
	return burn.Unknown
}

func (g *generation) withinTarget() bool {
	first := g.firstToken.Sub(g.call.started).Milliseconds()
	total := time.Since(g.call.started).Milliseconds()
	return first <= g.profile.FirstTokenMS && total <= g.profile.TotalMS
}
