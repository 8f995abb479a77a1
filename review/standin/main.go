// Command standin plays one case of the review: it starts the daemons as processes, plays the store,
// the runners and the clients, and judges what they have seen.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and reports whether the rule was broken. trouble is false if the disruption is
// left out.
type play func(rec *recorder, folder string, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"lookup-crash": playLookupCrash,
	"late-entry":   playLateEntry,
	"quiet-lapse":  playQuietLapse,
	"sound-part":   playSoundPart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](rec, folder, trouble)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was BROKEN")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
