// Command stand2 runs the scripts of the second review. Each case starts daemons as separate
// processes, plays store, endpoints, clients and platform itself, and judges one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[2])
	must(err, "find the folder")
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := map[string]func(f *fleet, trouble bool){
		"odd-ping":       oddPing,
		"restored-store": restoredStore,
		"popular-pages":  popularPagesLost,
		"short-fields":   shortFields,
		"slow-readers":   slowReaders,
	}[os.Args[1]]
	if !ok {
		unable("no case %q", os.Args[1])
	}
	f := newFleet(dir)
	run(f, trouble)
	broken := f.log.broken()
	f.log.add("%d violations, disruption %v", len(broken), trouble)
	f.close()
	if len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
