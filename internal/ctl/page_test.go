package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Guards against a command, a flag or an exit code that is missing from docs/bergamotctl.md.
func TestPageListsCommandsFlagsAndExitCodes(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "bergamotctl.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	root := newRoot("test", &options{})
	root.InitDefaultCompletionCmd()
	for _, cmd := range root.Commands() {
		if !strings.Contains(page, "`"+cmd.Name()) {
			t.Errorf("the page does not list the command %q", cmd.Name())
		}
		checkFlags(t, page, cmd)
	}
	checkFlags(t, page, root)
	for code := ExitOK; code <= ExitLost; code++ {
		if !strings.Contains(page, fmt.Sprintf("\n| %d |", code)) {
			t.Errorf("the page does not list exit code %d", code)
		}
	}
}

func checkFlags(t *testing.T, page string, cmd *cobra.Command) {
	t.Helper()
	check := func(f *pflag.Flag) {
		if !strings.Contains(page, "--"+f.Name) {
			t.Errorf("the page does not list the flag --%s of %q", f.Name, cmd.Name())
		}
	}
	cmd.LocalNonPersistentFlags().VisitAll(check)
	cmd.PersistentFlags().VisitAll(check)
}
