// Command bergamot-standin runs stand-ins for the systems around bergamotd for tests and
// the demo.
package main

import (
	"fmt"
	"os"

	"bergamotsill.example/bergamotsill/internal/load"
	"bergamotsill.example/bergamotsill/internal/standin"
	"bergamotsill.example/bergamotsill/internal/version"
)

func main() {
	root := standin.NewRoot(version.String())
	root.AddCommand(load.NewCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-standin:", err)
		os.Exit(1)
	}
}
