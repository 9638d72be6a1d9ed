package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"evacuated":      playEvacuated,
	"forgotten":      playForgotten,
	"turned-away":    playTurnedAway,
	"unframed-crash": playUnframedCrash,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/chicorystall", "path of the program")
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

func play(name, program, record string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return failed
	}
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.say("case %s, trouble %v", name, trouble)
	isBroken, err := run(w, trouble)
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		return failed
	case isBroken:
		w.say("the rule was broken")
		return broken
	}
	w.say("the rule held")
	return held
}
