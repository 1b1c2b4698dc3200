// Command stand plays one scripted case of the review against real processes of the
// project, with the project's stand-ins for the platform, the servers and the callers.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its script. A script returns what broke the rule,
// nothing if it held.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"silent-store":    silentStore,
	"moved-route":     movedRoute,
	"two-evacuations": twoEvacuations,
	"new-server":      newServer,
	"foreign-entry":   foreignEntry,
	"unnamed-service": unnamedService,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, with its disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	if err != nil {
		w.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, what := range broken {
		w.logf("RULE BROKEN: %s", what)
		fmt.Println(what)
	}
	if len(broken) > 0 {
		return 1
	}
	w.logf("the rule held")
	return 0
}
