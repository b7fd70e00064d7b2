package bwlauncher

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"bilberrywick/bench/bwbench"
	"bilberrywick/cmd/bwprint"
)

type benchFlags struct {
	pr       bwprint.Printer
	settings string
	results  string
	plots    string
	seed     uint64
	verbose  bool
}

func newBenchCommand(cfg Config) *cobra.Command {
	fls := &benchFlags{}
	cmd := &cobra.Command{
		Use:   "bench [EXPERIMENT...]",
		Short: "Run experiments that compare policies",
		Long: "Run experiments that compare policies on a fleet in this process, and print a table.\n" +
			"Without a name every experiment runs. Experiments: " + bwbench.ExperimentNames() + ".",
		Example: "  bilberrywick bench EngineDeath --seed 7 --results result.json --plots plots",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runBench(cmd, cfg, fls, args)
		},
	}
	fls.pr.AddFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&fls.settings, "settings", "", "JSON file that changes the experiments' sizes")
	flags.StringVar(&fls.results, "results", "", "write the results to this JSON file")
	flags.StringVar(&fls.plots, "plots", "", "write a plot of each latency into this existing directory")
	flags.Uint64Var(&fls.seed, "seed", 1, "seed of the arrivals")
	flags.BoolVar(&fls.verbose, "verbose", false, "print the processes' logs to standard error")
	return cmd
}

func runBench(cmd *cobra.Command, cfg Config, fls *benchFlags, names []string) error {
	size, err := bwbench.LoadSize(fls.settings)
	if err != nil {
		return err
	}
	exps, err := bwbench.SelectExperiments(size, names)
	if err != nil {
		return err
	}
	run := bwbench.Config{Seed: fls.seed, Progress: cmd.ErrOrStderr(), LogOutput: io.Discard}
	if fls.verbose {
		run.LogOutput = cfg.LogOutput
	}
	var results []bwbench.Result
	var verdicts []bwbench.Verdict
	violations := 0
	for _, exp := range exps {
		runs, err := bwbench.RunExperiment(cmd.Context(), exp, run)
		if err != nil {
			return err
		}
		for _, done := range runs {
			results = append(results, done.Result)
			violations += len(done.Result.Violations)
		}
		verdicts = append(verdicts, bwbench.CheckGoals(exp, runs)...)
		if fls.plots != "" {
			if err := plotAll(fls.plots, exp.Name, runs); err != nil {
				return err
			}
		}
	}
	rep := bwbench.Report{Size: size, Verdicts: verdicts, Results: results}
	if err := fls.pr.Print(cmd.OutOrStdout(), rep, rep.Write); err != nil {
		return err
	}
	if fls.results != "" {
		if err := bwbench.WriteJSON(fls.results, rep); err != nil {
			return err
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d guarantees were broken", violations)
	}
	return nil
}

// plotAll draws each latency that the first policy observed.
func plotAll(dir, name string, runs []bwbench.Run) error {
	if len(runs) == 0 {
		return nil
	}
	for _, measure := range runs[0].Recorder.LatencyNames() {
		path := filepath.Join(dir, name+"."+measure+".svg")
		if err := bwbench.WritePlot(path, measure, runs); err != nil {
			return err
		}
	}
	return nil
}
