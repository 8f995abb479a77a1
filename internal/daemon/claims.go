package daemon

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// claims holds this daemon's view of the claim streams.
type claims struct {
	daemon *Daemon

	mu         sync.Mutex
	partitions map[string]*partition
}

// partition is one claim stream. Its lock serialises reads of the stream.
type partition struct {
	mu    sync.Mutex
	state *claim.Partition
}

func newClaims(d *Daemon) *claims {
	return &claims{daemon: d, partitions: map[string]*partition{}}
}

func (c *claims) partition(stream string) *partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.partitions[stream]
	if !ok {
		p = &partition{state: claim.NewPartition()}
		c.partitions[stream] = p
	}
	return p
}

// refresh applies the stream up to its end.
func (c *claims) refresh(ctx context.Context, stream string, p *partition) error {
	for {
		page, err := c.daemon.deps.Log.Read(ctx, stream, p.state.Next(), readLimit, 0)
		if err != nil {
			c.daemon.metrics.LogErrors.Add(1)
			return trace.Wrap(err)
		}
		for _, rec := range page.Records {
			p.state.Apply(rec)
		}
		if p.state.Next() >= page.Next {
			return nil
		}
	}
}

// lookup reads the stream to its end and returns the state of a key.
func (c *claims) lookup(ctx context.Context, key string) (*claim.Entry, error) {
	stream := claim.Stream(key, c.daemon.settings.Claims.Partitions)
	p := c.partition(stream)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := c.refresh(ctx, stream, p); err != nil {
		return nil, err
	}
	e := p.state.Entry(key)
	if e == nil {
		return nil, nil
	}
	copied := *e
	return &copied, nil
}

func (c *claims) append(ctx context.Context, r claim.Record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	stream := claim.Stream(r.Key, c.daemon.settings.Claims.Partitions)
	entry := port.Entry{ID: r.Claim + "/" + string(r.Kind), Data: data}
	_, err = c.daemon.deps.Log.Append(ctx, stream, []port.Entry{entry})
	return err
}

// acquire returns the id of an accepted claim, or the recorded answer of an
// earlier run, or a refusal.
func (c *claims) acquire(ctx context.Context, key, digest string) (string, *port.ServiceResponse, error) {
	entry, err := c.lookup(ctx, key)
	if err != nil {
		return "", nil, refusal.New(refusal.ClaimUnavailable, "the claim log cannot be read").ForAttempt()
	}
	if entry != nil {
		answer, err := resolve(entry, digest)
		return "", answer, err
	}
	id := newID()
	record := claim.Record{Kind: claim.KindClaim, Key: key, Claim: id, Digest: digest, Owner: c.daemon.incarnation}
	// A lost answer is settled by the lookup that follows.
	appendErr := c.append(ctx, record)
	entry, err = c.lookup(ctx, key)
	switch {
	case err != nil || entry == nil:
		return "", nil, refusal.New(refusal.ClaimUnavailable, "the claim could not be recorded: %v", appendErr).ForAttempt()
	case entry.Claim == id:
		return id, nil, nil
	}
	answer, err := resolve(entry, digest)
	return "", answer, err
}

// resolve answers a call whose key is claimed already.
func resolve(e *claim.Entry, digest string) (*port.ServiceResponse, error) {
	switch {
	case e.Digest != digest:
		return nil, refusal.New(refusal.KeyReused, "the idempotency key belongs to a different request").ForAttempt()
	case e.Answer != nil:
		return e.Answer, nil
	case e.Finished:
		return nil, refusal.NewUnknown(refusal.OutcomeUnknown, "the call ran; its answer was not recorded")
	}
	return nil, refusal.NewUnknown(refusal.InProgress, "a call with this idempotency key is in progress")
}

// finish records the outcome of a call that ran.
func (c *claims) finish(ctx context.Context, key, id string, answer port.ServiceResponse) error {
	r := claim.Record{Kind: claim.KindOutcome, Key: key, Claim: id}
	if int64(len(answer.Body)) <= c.daemon.settings.Claims.AnswerBytes {
		r.Answer = &answer
	}
	return c.append(ctx, r)
}

// withdraw records that a claimed call was not sent.
func (c *claims) withdraw(ctx context.Context, key, id string) error {
	return c.append(ctx, claim.Record{Kind: claim.KindWithdraw, Key: key, Claim: id})
}
