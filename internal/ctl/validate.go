package ctl

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// fileKind is the kind of a file to validate.
type fileKind string

// Kinds of files.
const (
	kindAuto          fileKind = "auto"
	kindSettings      fileKind = "settings"
	kindConfiguration fileKind = "configuration"
)

func newValidate() *cobra.Command {
	var kind string
	cmd := &cobra.Command{
		Use:   "validate FILE...",
		Short: "Check settings files and configuration documents and report every error",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return validateAll(cmd, files, fileKind(kind))
		},
	}
	cmd.Flags().StringVar(&kind, "kind", string(kindAuto),
		"settings, configuration, or auto to detect the kind from the content")
	return cmd
}

// validateAll validates all files and returns one error with the findings of all of them.
func validateAll(cmd *cobra.Command, files []string, kind fileKind) error {
	var all []findings.Finding
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		found, detected, err := validate(file, data, kind)
		if err != nil {
			return err
		}
		if len(found) == 0 {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid %s\n", file, detected)
		}
		all = append(all, found...)
	}
	return findings.Error(all)
}

// validate returns the findings of one file and the kind as which it was validated.
func validate(file string, data []byte, kind fileKind) ([]findings.Finding, fileKind, error) {
	if kind == kindAuto {
		detected, err := detectKind(file, data)
		if err != nil {
			return nil, kind, err
		}
		kind = detected
	}
	switch kind {
	case kindSettings:
		_, list := settings.Check(file, data)
		return list.Items(), kind, nil
	case kindConfiguration:
		_, list := profile.ParseDocument(file, data)
		return list.Items(), kind, nil
	}
	return nil, kind, trace.BadParameter("unknown kind %q: expected %s, %s or %s",
		kind, kindAuto, kindSettings, kindConfiguration)
}

// detectKind determines the kind of a file from the names of its top-level fields. Fields
// after a syntax error are ignored, so that the kind of a malformed file is detected as well.
func detectKind(file string, data []byte) (fileKind, error) {
	fields := findings.LineIndex(data)
	inSettings := countFields(fields, findings.FieldNames(settings.Settings{}))
	inDocument := countFields(fields, findings.FieldNames(profile.Document{}))
	switch {
	case inSettings > inDocument:
		return kindSettings, nil
	case inDocument > inSettings:
		return kindConfiguration, nil
	}
	return "", trace.BadParameter("%s: cannot detect whether this is a settings file or a configuration document; use --kind", file)
}

// countFields returns how many of the names are top-level fields in a line index.
func countFields(fields map[string]int, names []string) int {
	n := 0
	for _, name := range names {
		if _, ok := fields[name]; ok {
			n++
		}
	}
	return n
}
