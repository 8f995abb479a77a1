package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/platform"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// readLimit is the number of records asked for in one read of the log.
const readLimit = 500

func newPublish(opts *options) *cobra.Command {
	var logURL, author string
	var base int64
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a configuration document through the log service",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			p := publisher{log: platform.NewLog(logURL, network.TCP{}), author: author, base: base}
			verdict, err := p.publish(ctx, args[0])
			if err != nil {
				return err
			}
			return report(cmd, verdict)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&logURL, "log", "", "base URL of the log service")
	flags.StringVar(&author, "author", os.Getenv("USER"), "name recorded with the revision")
	flags.Int64Var(&base, "base", -1, "revision that the document revises; -1 takes the one in force")
	// The flag exists, so marking it cannot fail.
	_ = cmd.MarkFlagRequired("log")
	return cmd
}

// publisher appends one configuration and finds out what became of it.
type publisher struct {
	log    port.Log
	author string
	base   int64
}

func (p publisher) publish(ctx context.Context, file string) (profile.Verdict, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return profile.Verdict{}, trace.ConvertSystemError(err)
	}
	if _, list := profile.ParseDocument(file, data); list.Err() != nil {
		return profile.Verdict{}, list.Err()
	}
	state := profile.NewState()
	if err := p.follow(ctx, state); err != nil {
		return profile.Verdict{}, err
	}
	base := p.base
	if base < 0 {
		base = revision(state)
	}
	record, err := json.Marshal(profile.Publication{
		Schema:   profile.SchemaVersion,
		Base:     base,
		Author:   p.author,
		Document: data,
	})
	if err != nil {
		return profile.Verdict{}, trace.Wrap(err)
	}
	return p.append(ctx, state, port.Entry{ID: rand.Text(), Data: record})
}

// append repeats the append with the same id until the record is found on the
// log; a repeated record has no second effect.
func (p publisher) append(ctx context.Context, state *profile.State, entry port.Entry) (profile.Verdict, error) {
	for {
		_, err := p.log.Append(ctx, profile.Stream, []port.Entry{entry})
		if errors.Is(err, port.ErrLogUnavailable) {
			return profile.Verdict{}, trace.Wrap(err, "nothing was published")
		}
		if err := p.follow(ctx, state); err != nil {
			return profile.Verdict{}, trace.Wrap(err, "record %s may have been published", entry.ID)
		}
		if verdict, ok := state.Verdict(entry.ID); ok {
			return verdict, nil
		}
	}
}

// follow applies the stream up to its end.
func (p publisher) follow(ctx context.Context, state *profile.State) error {
	for {
		page, err := p.log.Read(ctx, profile.Stream, state.Next(), readLimit, 0)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, rec := range page.Records {
			state.Apply(rec)
		}
		if state.Next() >= page.Next {
			return nil
		}
	}
}

func revision(state *profile.State) int64 {
	if s := state.Current(); s != nil {
		return s.Revision
	}
	return 0
}

func report(cmd *cobra.Command, v profile.Verdict) error {
	if !v.Accepted {
		return trace.Wrap(ErrConflict, "revision %d is in force: %s", v.Revision, v.Reason)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "published revision %d\n", v.Revision)
	return nil
}
