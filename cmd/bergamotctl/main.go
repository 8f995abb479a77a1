// Command bergamotctl is the command-line tool for operators of bergamotsill.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"bergamotsill.example/bergamotsill/internal/ctl"
	"bergamotsill.example/bergamotsill/internal/version"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := ctl.NewRoot(version.String()).ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bergamotctl:", ctl.Message(err))
	}
	os.Exit(ctl.ExitCode(err))
}
