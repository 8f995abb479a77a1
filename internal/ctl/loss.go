package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// lossFlag is the value of --after-loss: FIRST:NEWEST.
type lossFlag struct {
	loss *profile.Loss
}

// String implements pflag.Value.
func (f *lossFlag) String() string {
	if f.loss == nil {
		return ""
	}
	return formatLoss(*f.loss)
}

// Set implements pflag.Value.
func (f *lossFlag) Set(text string) error {
	first, newest, found := strings.Cut(text, ":")
	a, err1 := strconv.ParseInt(first, 10, 64)
	b, err2 := strconv.ParseInt(newest, 10, 64)
	loss := profile.Loss{First: a, Newest: b}
	if !found || err1 != nil || err2 != nil || !loss.Valid() {
		return fmt.Errorf("expected FIRST:NEWEST, the oldest retained offset and the newest one, found %q", text)
	}
	f.loss = &loss
	return nil
}

// Type implements pflag.Value.
func (f *lossFlag) Type() string { return "FIRST:NEWEST" }

func formatLoss(loss profile.Loss) string {
	return fmt.Sprintf("%d:%d", loss.First, loss.Newest)
}

// lossError tells an operator how to publish after a loss.
func lossError(loss *profile.Loss) error {
	return trace.Wrap(ErrLost, "records below offset %d expired and the log holds no checkpoint that covers them;"+
		" when no daemon has them, publish with --after-loss %s", loss.First, formatLoss(*loss))
}

// PublishAfterLoss publishes a document on top of whatever revision was in force
// when records were lost. It is accepted only as the record right after loss.Newest.
// The document may still be published after an error, as with Publish.
func (p Publisher) PublishAfterLoss(ctx context.Context, file string, data []byte, loss profile.Loss) (profile.Decision, error) {
	if _, list := profile.ParseDocument(file, data); list.Err() != nil {
		return profile.Decision{}, list.Err()
	}
	state := profile.NewState()
	next, err := p.readToEnd(ctx, state)
	switch {
	case err != nil:
		return profile.Decision{}, err
	case next <= loss.Newest:
		return profile.Decision{}, trace.BadParameter("offset %d is not on the log yet, the next one is %d", loss.Newest, next)
	case next > loss.Newest+1:
		return p.overtaken(state, loss)
	case state.Loss() == nil:
		return profile.Decision{}, trace.BadParameter("nothing is lost and revision %d is in force: publish without --after-loss", currentRevision(state))
	}
	entry, err := p.entry(profile.Publication{Kind: profile.KindAfterLoss, AfterLoss: &loss, Document: data})
	if err != nil {
		return profile.Decision{}, err
	}
	return p.appendAfterLoss(ctx, state, entry, loss)
}

// appendAfterLoss repeats the append until the log holds the record that decides
// about it, which may be another one.
func (p Publisher) appendAfterLoss(ctx context.Context, state *profile.State, entry port.Entry, loss profile.Loss) (profile.Decision, error) {
	unknown := false
	for {
		var err error
		if unknown, err = p.appendOnce(ctx, entry, unknown); err != nil {
			return profile.Decision{}, err
		}
		next, err := p.readToEnd(ctx, state)
		if err != nil {
			return profile.Decision{}, fmt.Errorf("record %s may have been published: %v", entry.ID, err)
		}
		if verdict, ok := state.Decision(entry.ID); ok {
			return verdict, nil
		}
		if next > loss.Newest+1 {
			return p.overtaken(state, loss)
		}
	}
}

// overtaken is the verdict when another record stands where the publication would
// have been accepted. While the loss is open still, the operator has to look again.
func (p Publisher) overtaken(state *profile.State, loss profile.Loss) (profile.Decision, error) {
	if open := state.Loss(); open != nil {
		return profile.Decision{}, lossError(open)
	}
	return profile.Decision{
		Revision: currentRevision(state),
		Reason:   fmt.Sprintf("another record follows offset %d", loss.Newest),
	}, nil
}

// entry returns a publication as an entry with an id of its own.
func (p Publisher) entry(pub profile.Publication) (port.Entry, error) {
	pub.Schema = profile.SchemaOf(pub.Document)
	if len(pub.Changes) > 0 {
		pub.Schema = profile.SchemaVersion
	}
	pub.Author = p.Author
	record, err := json.Marshal(pub)
	if err != nil {
		return port.Entry{}, trace.Wrap(err)
	}
	return port.Entry{ID: rand.Text(), Data: record}, nil
}

// readToEnd applies the stream up to its end, without waiting for a checkpoint, and
// returns the offset after the newest record.
func (p Publisher) readToEnd(ctx context.Context, state *profile.State) (int64, error) {
	for {
		page, err := p.readPage(ctx, state, 0)
		if err != nil {
			return 0, err
		}
		if state.ReadOffset() >= page.Next {
			return page.Next, nil
		}
	}
}
