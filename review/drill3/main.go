// Command drill3 holds the stand-ins and the drivers of the cases 11 to 15. "drill3 runner" is a runner, and
// "drill3 case NAME" starts the stand-in of the store, runners and daemons, sends requests, and judges what clients and
// runners have seen.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 && !(len(os.Args) == 2 && os.Args[1] == "runner") {
		fmt.Fprintln(os.Stderr, "usage: drill3 runner FLAGS | drill3 case NAME FOLDER")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "runner":
		runRunner(os.Args[2:])
	case "case":
		run, ok := cases[os.Args[2]]
		if !ok || len(os.Args) < 4 {
			fmt.Fprintln(os.Stderr, "unknown case, or no folder")
			os.Exit(2)
		}
		os.Exit(run(os.Args[3]))
	}
}

// cases holds the drivers; each returns the exit status.
var cases = map[string]func(folder string) int{}
