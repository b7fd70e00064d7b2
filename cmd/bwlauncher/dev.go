package bwlauncher

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/standin/bwfakeengine"
)

const (
	devTokenTime  = 20 * time.Millisecond
	devFirstToken = 50 * time.Millisecond
	devSlots      = 8
)

func newDevCommand(cfg Config) *cobra.Command {
	var demo, verbose bool
	dev := bwdev.Config{
		Engine: bwfakeengine.Config{TokenTime: devTokenTime, FirstToken: devFirstToken, Slots: devSlots, CacheBlocks: 1024},
	}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole fleet on loopback with stand-ins",
		Long: "Run a whole fleet on loopback with stand-ins in one process, without TLS.\n" +
			"With --demo, play the path from a ticket to an action, print what happened and exit.",
		Example: "  bilberrywick dev --demo\n  bilberrywick dev --routers 3 --engines 6",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logs := io.Discard
			if verbose {
				logs = cfg.Logs
			}
			if demo {
				return bwdev.RunDemo(cmd.Context(), cmd.OutOrStdout(), logs)
			}
			dev.LogOutput = logs
			return runDev(cmd.Context(), dev, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.BoolVar(&demo, "demo", false, "play the demonstration and exit")
	flags.BoolVar(&verbose, "verbose", false, "print the processes' logs to standard error")
	flags.IntVar(&dev.Routers, "routers", 2, "number of routers")
	flags.IntVar(&dev.Engines, "engines", 3, "number of model engines with agents")
	flags.IntVar(&dev.Apps, "apps", 2, "number of instances of the plain service with agents")
	return cmd
}

func runDev(ctx context.Context, cfg bwdev.Config, out io.Writer) error {
	flt, err := bwdev.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer flt.Close()
	for _, rtr := range flt.Routers {
		if _, err := fmt.Fprintf(out, "%s: callers %v, operators %v\n", rtr.Member().ID, rtr.CallerAddress(), rtr.OperatorAddress()); err != nil {
			return err
		}
	}
	for _, team := range flt.Teams() {
		if _, err := fmt.Fprintf(out, "team %s: key %s\n", team.Name, team.Key); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(out, "operators' key: %s\n", bwdev.OperatorKey); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
