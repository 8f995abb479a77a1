// Command testreport reads the output of "go test -json" and prints the failures and a
// summary. It exits with status 1 if a test failed that KNOWN-RED.txt does not list,
// if a listed test passed, or if no test passed.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// name identifies a test, or a package whose build or main function failed.
func (e event) name() string {
	return strings.TrimSpace(e.Package + " " + e.Test)
}

// report collects the results of one run.
type report struct {
	out io.Writer
	// known holds the names in KNOWN-RED.txt, and ran the names in the events.
	known map[string]bool
	ran   map[string]bool
	// output holds the output of packages, and of tests until they pass.
	output  map[string]*strings.Builder
	passed  int
	skipped int
	// failed holds the failures that known does not list. knownFailed and knownPassed
	// hold the listed tests that failed and passed.
	failed      []string
	knownFailed []string
	knownPassed []string
}

func main() {
	path := flag.String("known-red", "KNOWN-RED.txt", "list of tests that are known to fail")
	flag.Parse()
	known, err := readKnown(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
	r := &report{out: os.Stdout, known: known, ran: map[string]bool{}, output: map[string]*strings.Builder{}}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
	if !r.summarise() {
		os.Exit(1)
	}
}

// readKnown returns the names in KNOWN-RED.txt. A name is the package and the test
// before the first "|" of a line.
func readKnown(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		name, _, _ := strings.Cut(line, "|")
		name = strings.Join(strings.Fields(name), " ")
		if name != "" && !strings.HasPrefix(name, "#") {
			known[name] = true
		}
	}
	return known, nil
}

// read processes the events of in, one per line. It prints lines that are not JSON.
func (r *report) read(in io.Reader) error {
	const maxLineBytes = 16 << 20
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Fprintln(r.out, scanner.Text())
			continue
		}
		r.add(e)
	}
	return scanner.Err()
}

func (r *report) add(e event) {
	r.ran[e.name()] = true
	switch e.Action {
	case "output", "build-output":
		r.appendOutput(e)
	case "pass":
		r.pass(e)
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.fail(e)
	}
}

func (r *report) appendOutput(e event) {
	b, ok := r.output[e.name()]
	if !ok {
		b = &strings.Builder{}
		r.output[e.name()] = b
	}
	b.WriteString(e.Output)
}

func (r *report) pass(e event) {
	if e.Test == "" {
		return
	}
	r.passed++
	if r.known[e.name()] {
		r.knownPassed = append(r.knownPassed, e.name())
	}
	delete(r.output, e.name())
}

func (r *report) fail(e event) {
	if r.known[e.name()] {
		r.knownFailed = append(r.knownFailed, e.name())
		return
	}
	if e.Test == "" && r.failureExplained(e.Package) {
		return
	}
	r.failed = append(r.failed, e.name())
	r.print(e.name())
	if e.Test == "" {
		r.printUnfinished(e.Package)
	}
}

// printUnfinished prints the output of the tests that had not ended when their package
// failed, for example because of a timeout.
func (r *report) printUnfinished(pkg string) {
	for name := range r.output {
		if strings.HasPrefix(name, pkg+" ") {
			r.print(name)
		}
	}
}

// print prints the end of the output of a test or package.
func (r *report) print(name string) {
	const maxBytes = 20_000
	b, ok := r.output[name]
	if !ok {
		return
	}
	text := b.String()
	fmt.Fprintln(r.out, text[max(0, len(text)-maxBytes):])
}

// failureExplained reports whether a test of a failed package has failed, so that the
// failure of the package needs no entry of its own.
func (r *report) failureExplained(pkg string) bool {
	for _, list := range [][]string{r.failed, r.knownFailed} {
		for _, name := range list {
			if strings.HasPrefix(name, pkg+" ") {
				return true
			}
		}
	}
	return false
}

// summarise prints the summary and reports whether the run passed.
func (r *report) summarise() bool {
	for _, name := range r.knownFailed {
		fmt.Fprintln(r.out, "known red:", name)
	}
	for _, name := range slices.Sorted(maps.Keys(r.known)) {
		if !r.ran[name] {
			fmt.Fprintln(r.out, "known red, not run here:", name)
		}
	}
	for _, name := range r.knownPassed {
		fmt.Fprintln(r.out, "listed in KNOWN-RED.txt but passed:", name)
	}
	for _, name := range r.failed {
		fmt.Fprintln(r.out, "FAILED:", name)
	}
	if len(r.knownFailed) > 0 {
		fmt.Fprintf(r.out, "%d known red\n", len(r.knownFailed))
	}
	fmt.Fprintf(r.out, "%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	return len(r.failed) == 0 && len(r.knownPassed) == 0 && r.passed > 0
}
