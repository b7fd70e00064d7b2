// Command standin-3 has the stand-ins of the third review's scripts and runs their cases.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 engine|case ...")
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "engine":
		err = runEngine(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		err = fmt.Errorf("unknown command %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
