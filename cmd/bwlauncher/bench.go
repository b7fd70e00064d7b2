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
	pr           bwprint.Printer
	settingsFile string
	resultsFile  string
	plotDir      string
	seed         uint64
	verbose      bool
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
	cmd.AddCommand(newOverloadCommand())
	fls.pr.AddFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&fls.settingsFile, "settings", "", "JSON file that overrides the experiments' sizes")
	flags.StringVar(&fls.resultsFile, "results", "", "write the results to this JSON file")
	flags.StringVar(&fls.plotDir, "plots", "", "write a plot of each latency into this existing directory")
	flags.Uint64Var(&fls.seed, "seed", 1, "random seed of the request arrivals")
	flags.BoolVar(&fls.verbose, "verbose", false, "print the processes' logs to standard error")
	return cmd
}

func runBench(cmd *cobra.Command, cfg Config, fls *benchFlags, names []string) error {
	size, err := bwbench.LoadSize(fls.settingsFile)
	if err != nil {
		return err
	}
	exps, err := bwbench.SelectExperiments(size, names)
	if err != nil {
		return err
	}
	runCfg := bwbench.Config{Seed: fls.seed, Progress: cmd.ErrOrStderr(), LogOutput: io.Discard}
	if fls.verbose {
		runCfg.LogOutput = cfg.LogOutput
	}
	var results []bwbench.Result
	var verdicts []bwbench.Verdict
	violations := 0
	for _, exp := range exps {
		runs, err := bwbench.RunExperiment(cmd.Context(), exp, runCfg)
		if err != nil {
			return err
		}
		for _, policyRun := range runs {
			results = append(results, policyRun.Result)
			violations += len(policyRun.Result.Violations)
		}
		verdicts = append(verdicts, bwbench.CheckGoals(exp, runs)...)
		if fls.plotDir != "" {
			if err := writePlots(fls.plotDir, exp.Name, runs); err != nil {
				return err
			}
		}
	}
	rep := bwbench.Report{Size: size, Verdicts: verdicts, Results: results}
	if err := fls.pr.Print(cmd.OutOrStdout(), rep, rep.Write); err != nil {
		return err
	}
	if fls.resultsFile != "" {
		if err := bwbench.WriteJSON(fls.resultsFile, rep); err != nil {
			return err
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d guarantees were broken", violations)
	}
	return nil
}

// writePlots writes one SVG file to dir for each latency that the first run recorded.
func writePlots(dir, name string, runs []bwbench.Run) error {
	if len(runs) == 0 {
		return nil
	}
	for _, latency := range runs[0].Recorder.LatencyNames() {
		path := filepath.Join(dir, name+"."+latency+".svg")
		if err := bwbench.WritePlot(path, latency, runs); err != nil {
			return err
		}
	}
	return nil
}
