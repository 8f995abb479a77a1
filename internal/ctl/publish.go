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

// readLimit is the number of records asked for in one read of the log.
const readLimit = 500

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
			verdict, err := publish(ctx, args[0], data)
			if err != nil {
				return err
			}
			return report(cmd, verdict)
		},
	}
	flags := cmd.Flags()
	addLogFlag(cmd, &logURL)
	flags.StringVar(&author, "author", os.Getenv("USER"), "name recorded with the revision")
	flags.Int64Var(&base, "base", -1, "revision that the document revises; -1 takes the one in force")
	flags.Var(&afterLoss, "after-loss", "publish although records expired unread: the oldest retained offset and the newest one")
	flags.BoolVar(&changes, "changes", false, "publish only the items of the document that differ from its base")
	cmd.MarkFlagsMutuallyExclusive("base", "after-loss")
	cmd.MarkFlagsMutuallyExclusive("changes", "after-loss")
	return cmd
}

// Publisher appends one configuration and finds out what became of it.
type Publisher struct {
	Log port.Log
	// Author is recorded with the revision.
	Author string
	// Base is the revision that the document revises; -1 takes the one in force.
	Base int64
	// Changes publishes only the items that differ from the base.
	Changes bool

	// applied is called with the state after each record that is read; may be nil.
	applied func(port.Record, *profile.State)
}

// Publish validates and publishes a document; file names it in findings. On an
// error that is not a finding the document may still be published later, unless
// the error is port.ErrLogUnavailable.
func (p Publisher) Publish(ctx context.Context, file string, data []byte) (profile.Decision, error) {
	doc, list := profile.ParseDocument(file, data)
	if list.Err() != nil {
		return profile.Decision{}, list.Err()
	}
	state := profile.NewState()
	if err := p.follow(ctx, state); err != nil {
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
	entry, err := p.entry(pub)
	if err != nil {
		return profile.Decision{}, err
	}
	return p.append(ctx, state, entry)
}

// appendOnce appends an entry and returns whether this or an earlier append of it
// may have taken effect. It fails only when none can have.
func (p Publisher) appendOnce(ctx context.Context, entry port.Entry, unknown bool) (bool, error) {
	_, err := p.Log.Append(ctx, profile.Stream, []port.Entry{entry})
	unknown = unknown || errors.Is(err, port.ErrAppendUnknown)
	if errors.Is(err, port.ErrLogUnavailable) && !unknown {
		return unknown, trace.Wrap(err, "nothing was published")
	}
	return unknown, nil
}

// append repeats the append with the same id until the record is found on the
// log; a repeated record has no second effect.
func (p Publisher) append(ctx context.Context, state *profile.State, entry port.Entry) (profile.Decision, error) {
	// unknown is set once an append may have taken effect.
	unknown := false
	for {
		var err error
		if unknown, err = p.appendOnce(ctx, entry, unknown); err != nil {
			return profile.Decision{}, err
		}
		if err := p.follow(ctx, state); err != nil {
			return profile.Decision{}, fmt.Errorf("record %s may have been published: %v", entry.ID, err)
		}
		if verdict, ok := state.Decision(entry.ID); ok {
			return verdict, nil
		}
	}
}

// readWait is how long a read waits for a checkpoint to appear.
const readWait = time.Second

// follow applies the stream up to its end. On a truncated stream it starts from
// the newest checkpoint; after a long outage of the log a daemon writes one
// first, so follow waits for it. The error is ErrLost when none appears.
func (p Publisher) follow(ctx context.Context, state *profile.State) error {
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

// readPage applies one page of the stream.
func (p Publisher) readPage(ctx context.Context, state *profile.State, wait time.Duration) (port.Page, error) {
	page, err := p.Log.Read(ctx, profile.Stream, state.ReadOffset(), readLimit, wait)
	if err != nil && !errors.Is(err, port.ErrLogTruncated) {
		return page, trace.Wrap(err)
	}
	state.Truncate(page.First)
	for _, rec := range page.Records {
		if _, err := state.Apply(rec); err != nil && !state.Recovering() {
			return page, trace.Wrap(err)
		}
		if p.applied != nil {
			p.applied(rec, state)
		}
	}
	return page, nil
}

func report(cmd *cobra.Command, v profile.Decision) error {
	if !v.Accepted {
		return trace.Wrap(ErrConflict, "revision %d is in force: %s", v.Revision, v.Reason)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "published revision %d\n", v.Revision)
	return nil
}
