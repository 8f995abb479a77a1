// Command cmd runs the benchmark of package bench and writes its results.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"bergamotsill.example/bergamotsill/internal/bench"
)

func main() {
	var o bench.Options
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the load and the faults")
	flag.BoolVar(&o.Ablations, "ablations", true, "add rows with one mechanism switched off")
	flag.StringVar(&o.Only, "scenario", "", "run one scenario only")
	out := flag.String("out", "out", "directory of the JSON file and the plot")
	flag.Parse()
	if err := run(o, *out); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(o bench.Options, dir string) error {
	results := bench.Run(o)
	if err := bench.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	return bench.WritePlot(filepath.Join(dir, "bench.svg"), results)
}
