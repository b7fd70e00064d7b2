package main

import (
	"context"
	"os"

	"bilberrywick/cmd/bwcommand"
	"bilberrywick/cmd/bwlauncher"
)

// version is set by the linker in released builds.
var version = "dev"

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := bwlauncher.WithSignals(context.Background())
	defer stop()
	cfg := bwcommand.Config{
		Version:     version,
		Output:      os.Stdout,
		ErrorOutput: os.Stderr,
		Getenv:      os.Getenv,
		CheckTicket: bwlauncher.CheckTicket,
		Commands:    bwlauncher.Commands(bwlauncher.Config{Version: version, LogOutput: os.Stderr}),
	}
	return bwcommand.Run(ctx, cfg, os.Args[1:])
}
