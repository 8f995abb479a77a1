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

// lossFlag is the value of the flag --after-loss, in the form FIRST:NEWEST.
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
	oldest, err1 := strconv.ParseInt(first, 10, 64)
	newestOffset, err2 := strconv.ParseInt(newest, 10, 64)
	loss := profile.Loss{First: oldest, Newest: newestOffset}
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

// lossError returns an ErrLost that says how to publish after the loss.
func lossError(loss *profile.Loss) error {
	return trace.Wrap(ErrLost, "records below offset %d expired and the log holds no checkpoint that covers them;"+
		" when no daemon has them, publish with --after-loss %s", loss.First, formatLoss(*loss))
}

// PublishAfterLoss publishes a document regardless of which revision was in force when
// records were lost. It is accepted only as the record right after loss.Newest. After an
// error the document may still be published, as with Publish.
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
		return p.supersededDecision(state, loss)
	case state.Loss() == nil:
		return profile.Decision{}, trace.BadParameter("nothing is lost and revision %d is in force: publish without --after-loss", currentRevision(state))
	}
	entry, err := p.newEntry(profile.Publication{Kind: profile.KindAfterLoss, AfterLoss: &loss, Document: data})
	if err != nil {
		return profile.Decision{}, err
	}
	return p.appendAfterLoss(ctx, state, entry, loss)
}

// appendAfterLoss repeats the append until the log holds a record right after loss.Newest,
// which decides whether the publication is accepted and may be another record.
func (p Publisher) appendAfterLoss(ctx context.Context, state *profile.State, entry port.Entry, loss profile.Loss) (profile.Decision, error) {
	maybeAppended := false
	for {
		var err error
		if maybeAppended, err = p.appendOnce(ctx, entry, maybeAppended); err != nil {
			return profile.Decision{}, err
		}
		next, err := p.readToEnd(ctx, state)
		if err != nil {
			return profile.Decision{}, fmt.Errorf("record %s may have been published: %v", entry.ID, err)
		}
		if decision, ok := state.Decision(entry.ID); ok {
			return decision, nil
		}
		if next > loss.Newest+1 {
			return p.supersededDecision(state, loss)
		}
	}
}

// supersededDecision returns the decision for the case that another record follows
// loss.Newest, so that the publication can no longer be accepted there. While records are
// still missing, it returns an ErrLost with the new offsets instead, so that the operator can
// check again.
func (p Publisher) supersededDecision(state *profile.State, loss profile.Loss) (profile.Decision, error) {
	if current := state.Loss(); current != nil {
		return profile.Decision{}, lossError(current)
	}
	return profile.Decision{
		Revision: currentRevision(state),
		Reason:   fmt.Sprintf("another record follows offset %d", loss.Newest),
	}, nil
}

// newEntry encodes a publication as a log entry with a new random id.
func (p Publisher) newEntry(pub profile.Publication) (port.Entry, error) {
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

// readToEnd applies the records up to the end of the stream and returns the offset after the
// newest one. Unlike catchUp, it does not wait for a checkpoint.
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
