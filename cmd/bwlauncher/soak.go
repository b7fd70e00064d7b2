package bwlauncher

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/bench/bwsoak"
	"bilberrywick/cmd/bwprint"
)

func newSoakCommand(cfg Config) *cobra.Command {
	var soak bwsoak.Config
	var verbose bool
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run a complete fleet under random faults and check its guarantees",
		Long: "Run a complete fleet under random faults in this process and check every response, action and ticket.\n" +
			"The command fails when a guarantee was violated. Faults: " + bwsoak.FaultNames() + ".",
		Example: "  bilberrywick soak --seed 7 --generations 10000 --actions 10000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			soak.Progress = cmd.ErrOrStderr()
			soak.LogOutput = io.Discard
			if verbose {
				soak.LogOutput = cfg.LogOutput
			}
			rpt, err := bwsoak.Run(cmd.Context(), soak)
			if err != nil {
				return err
			}
			if err := pr.Print(cmd.OutOrStdout(), rpt, rpt.Write); err != nil {
				return err
			}
			if len(rpt.Violations) > 0 {
				return fmt.Errorf("%d guarantees were broken", len(rpt.Violations)+rpt.Dropped)
			}
			return nil
		},
	}
	pr.AddFlags(cmd)
	flags := cmd.Flags()
	flags.Uint64Var(&soak.Seed, "seed", 1, "random seed of the faults and requests")
	flags.IntVar(&soak.Generations, "generations", 10_000, "number of generations to send; the run ends when --actions actions are sent too")
	flags.IntVar(&soak.Actions, "actions", 10_000, "number of actions to send; the run ends when --generations generations are sent too")
	flags.DurationVar(&soak.TimeLimit, "limit", 10*time.Minute, "maximum duration of the run")
	flags.DurationVar(&soak.RoundLength, "round", 12*time.Second, "time with faults before each period without faults")
	flags.IntVar(&soak.ParallelFaults, "faults", 3, "number of simultaneous faults")
	flags.IntVar(&soak.Workers, "workers", 24, "number of concurrent callers of each kind")
	flags.StringSliceVar(&soak.OnlyFaults, "only", nil, "names of the faults to use")
	flags.BoolVar(&verbose, "verbose", false, "print the processes' logs to standard error")
	return cmd
}
