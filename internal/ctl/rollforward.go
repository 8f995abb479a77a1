package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/profile"
)

func newRollForward(opts *options) *cobra.Command {
	var logURL, author string
	cmd := &cobra.Command{
		Use:   "roll-forward REVISION",
		Short: "Publish the document of an earlier revision again as a new revision",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return trace.BadParameter("expected the number of a revision, found %q", args[0])
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			log, err := opts.openLog(logURL)
			if err != nil {
				return err
			}
			verdict, err := rollForward(ctx, Publisher{Log: log, Author: author}, revision)
			if err != nil {
				return err
			}
			return report(cmd, verdict)
		},
	}
	addLogFlag(cmd, &logURL)
	cmd.Flags().StringVar(&author, "author", os.Getenv("USER"), "name recorded with the revision")
	return cmd
}

// rollForward publishes the document of an earlier revision on top of the one in
// force. The older revision itself never comes back.
func rollForward(ctx context.Context, p Publisher, revision int64) (profile.Decision, error) {
	state, revisions, err := history(ctx, p.Log)
	if err != nil {
		return profile.Decision{}, err
	}
	document := documentOf(revisions, revision)
	if document == nil {
		return profile.Decision{}, trace.NotFound("revision %d was not accepted or is no longer on the log as a whole", revision)
	}
	p.Base = currentRevision(state)
	return p.Publish(ctx, fmt.Sprintf("revision %d", revision), document)
}

func documentOf(revisions []revisionInfo, revision int64) json.RawMessage {
	for _, r := range revisions {
		if r.Revision == revision {
			return r.document
		}
	}
	return nil
}

// currentRevision returns the revision in force, 0 when there is none.
func currentRevision(state *profile.State) int64 {
	if s := state.Current(); s != nil {
		return s.Revision
	}
	return 0
}
