package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// readPageRecords is the maximum number of records in one read of the log.
const readPageRecords = 500

func newPublish(opts *options) *cobra.Command {
	var logURL, author string
	var base int64
	var afterLoss lossFlag
	var changes bool
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a configuration document through the log service",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			data, err := os.ReadFile(args[0])
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			log, err := opts.openLog(logURL)
			if err != nil {
				return err
			}
			p := Publisher{Log: log, Author: author, Base: base, Changes: changes}
			publish := p.Publish
			if afterLoss.loss != nil {
				publish = func(ctx context.Context, file string, data []byte) (profile.Decision, error) {
					return p.PublishAfterLoss(ctx, file, data, *afterLoss.loss)
				}
			}
			decision, err := publish(ctx, args[0], data)
			if err != nil {
				return err
			}
			return printDecision(cmd, decision)
		},
	}
	flags := cmd.Flags()
	addLogFlag(cmd, &logURL)
	flags.StringVar(&author, "author", os.Getenv("USER"), "name recorded with the revision")
	flags.Int64Var(&base, "base", -1, "revision that the document is based on; -1 means the one in force")
	flags.Var(&afterLoss, "after-loss", "publish although configuration records expired unread: the oldest retained offset and the newest one")
	flags.BoolVar(&changes, "changes", false, "publish only the items of the document that differ from its base")
	cmd.MarkFlagsMutuallyExclusive("base", "after-loss")
	cmd.MarkFlagsMutuallyExclusive("changes", "after-loss")
	return cmd
}

// Publisher publishes a configuration document on the log and determines whether it was
// accepted.
type Publisher struct {
	Log port.Log
	// Author is recorded with the revision.
	Author string
	// Base is the revision that the document is based on; -1 means the one in force.
	Base int64
	// Changes publishes only the items that differ from the base.
	Changes bool

	// onRecord, if not nil, is called for each record that is read, with the state after it.
	onRecord func(port.Record, *profile.State)
}

// Publish validates and publishes a document; file is its name in findings. After an error
// other than findings the document may still be published later, unless the error is
// port.ErrLogUnavailable.
func (p Publisher) Publish(ctx context.Context, file string, data []byte) (profile.Decision, error) {
	doc, list := profile.ParseDocument(file, data)
	if list.Err() != nil {
		return profile.Decision{}, list.Err()
	}
	state := profile.NewState()
	if err := p.catchUp(ctx, state); err != nil {
		return profile.Decision{}, err
	}
	base := p.Base
	if base < 0 {
		base = currentRevision(state)
	}
	pub := profile.Publication{Base: base, Document: data}
	if p.Changes && base > 0 && base == currentRevision(state) {
		if changes := state.ChangesTo(doc); changes != nil {
			pub.Document, pub.Changes = nil, changes
		}
	}
	entry, err := p.newEntry(pub)
	if err != nil {
		return profile.Decision{}, err
	}
	return p.append(ctx, state, entry)
}

// appendOnce appends an entry and reports whether this or an earlier append of it may have
// taken effect; maybeAppended is the result of the earlier ones. It returns an error only when
// none of them can have taken effect.
func (p Publisher) appendOnce(ctx context.Context, entry port.Entry, maybeAppended bool) (bool, error) {
	_, err := p.Log.Append(ctx, profile.Stream, []port.Entry{entry})
	maybeAppended = maybeAppended || errors.Is(err, port.ErrAppendUnknown)
	if errors.Is(err, port.ErrLogUnavailable) && !maybeAppended {
		return maybeAppended, trace.Wrap(err, "nothing was published")
	}
	return maybeAppended, nil
}

// append repeats the append with the same id until the record is found on the log. A
// repeated record has no further effect.
func (p Publisher) append(ctx context.Context, state *profile.State, entry port.Entry) (profile.Decision, error) {
	// maybeAppended is true once an append may have taken effect.
	maybeAppended := false
	for {
		var err error
		if maybeAppended, err = p.appendOnce(ctx, entry, maybeAppended); err != nil {
			return profile.Decision{}, err
		}
		if err := p.catchUp(ctx, state); err != nil {
			return profile.Decision{}, fmt.Errorf("record %s may have been published: %v", entry.ID, err)
		}
		if decision, ok := state.Decision(entry.ID); ok {
			return decision, nil
		}
	}
}

// readWait is how long one read waits for a checkpoint to appear.
const readWait = time.Second

// catchUp applies the records up to the end of the stream. On a truncated stream it starts
// from the newest checkpoint. After a long outage of the log, a daemon has to write a
// checkpoint first, so catchUp waits for it until ctx ends. The error is ErrLost when none
// appears.
func (p Publisher) catchUp(ctx context.Context, state *profile.State) error {
	for {
		wait := time.Duration(0)
		if state.Recovering() {
			wait = readWait
		}
		page, err := p.readPage(ctx, state, wait)
		loss := state.Loss()
		switch {
		case ctx.Err() != nil && loss != nil:
			return lossError(loss)
		case err != nil:
			return err
		case !state.Recovering() && state.Next() >= page.Next:
			return nil
		case ctx.Err() != nil:
			return trace.Wrap(ctx.Err(), "no usable checkpoint on the log at or after offset %d", page.First)
		}
	}
}

// readPage reads one page of the stream and applies its records to state. It waits up to wait
// for new records.
func (p Publisher) readPage(ctx context.Context, state *profile.State, wait time.Duration) (port.Page, error) {
	page, err := p.Log.Read(ctx, profile.Stream, state.ReadOffset(), readPageRecords, wait)
	if err != nil && !errors.Is(err, port.ErrLogTruncated) {
		return page, trace.Wrap(err)
	}
	state.Truncate(page.First)
	for _, rec := range page.Records {
		if _, err := state.Apply(rec); err != nil && !state.Recovering() {
			return page, trace.Wrap(err)
		}
		if p.onRecord != nil {
			p.onRecord(rec, state)
		}
	}
	return page, nil
}

// printDecision prints the published revision, or returns ErrConflict when the publication
// was not accepted.
func printDecision(cmd *cobra.Command, decision profile.Decision) error {
	if !decision.Accepted {
		return trace.Wrap(ErrConflict, "revision %d is in force: %s", decision.Revision, decision.Reason)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "published revision %d\n", decision.Revision)
	return nil
}
