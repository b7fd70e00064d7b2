package bwlauncher

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"bilberrywick/bench/bwoverload"
	"bilberrywick/cmd/bwcommand"
	"bilberrywick/cmd/bwprint"
)

type overloadFlags struct {
	pr           bwprint.Printer
	settingsFile string
	resultsFile  string
	plotDir      string
	seed         uint64
}

const overloadExample = `  # Plain requests at 0.5 to 8 times the capacity, with the default settings
  bilberrywick bench overload

  # A step to 8 times the capacity, with results and plots
  echo '{"Pattern":"Step","LoadFrom":8,"LoadTo":8,"LoadSteps":1}' > step.json
  bilberrywick bench overload --settings step.json --results step-results.json --plots plots

  # Generations on model engines
  echo '{"Kind":"Generations","Gateways":10,"Length":"40s"}' > engines.json
  bilberrywick bench overload --settings engines.json --seed 7`

func newOverloadCommand() *cobra.Command {
	fls := &overloadFlags{}
	cmd := &cobra.Command{
		Use:   "overload",
		Short: "Compare admission with baselines at loads below and above the capacity",
		Long: "Replay callers, gateways and upstreams on virtual time, at several loads and with each policy:\n" +
			"the gateway's admission, first come first served, and least load without admission.\n" +
			"It prints one line for each policy and load. Results depend on the settings and the seed only.\n\n" +
			"Fields of the settings and their defaults:\n" + bwoverload.SettingsHelp(),
		Example: overloadExample,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runOverload(cmd, fls)
		},
	}
	fls.pr.AddFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&fls.settingsFile, "settings", "", "JSON file with settings that replace the defaults")
	flags.StringVar(&fls.resultsFile, "results", "", "write the settings and results to this JSON file")
	flags.StringVar(&fls.plotDir, "plots", "", "write plots of goodput, waits and refusals as SVG into this existing directory")
	flags.Uint64Var(&fls.seed, "seed", 0, "random seed; 0 means that of the settings")
	return cmd
}

// overloadReport is the form of the results.
type overloadReport struct {
	Settings bwoverload.Settings
	Results  []bwoverload.Result
}

func runOverload(cmd *cobra.Command, fls *overloadFlags) error {
	set, err := bwoverload.LoadSettings(fls.settingsFile)
	if err != nil {
		return err
	}
	if fls.seed != 0 {
		set.Seed = fls.seed
	}
	if err := checkPlotDir(fls.plotDir); err != nil {
		return err
	}
	results, err := bwoverload.RunAll(cmd.Context(), set, cmd.ErrOrStderr(), func(res bwoverload.Result) {
		if fls.pr.IsText() {
			bwprint.Linef(cmd.OutOrStdout(), "%s", res)
		}
	})
	if err != nil {
		return err
	}
	rep := overloadReport{Settings: set, Results: results}
	if err := fls.pr.Print(cmd.OutOrStdout(), rep, func(io.Writer) {}); err != nil {
		return err
	}
	if fls.resultsFile != "" {
		if err := writeOverloadReport(fls.resultsFile, rep); err != nil {
			return err
		}
	}
	if fls.plotDir == "" {
		return nil
	}
	_, err = bwoverload.WritePlots(fls.plotDir, "overload-", results)
	return err
}

// checkPlotDir returns an error before a long run whose plots could not be written.
func checkPlotDir(dir string) error {
	if dir == "" {
		return nil
	}
	info, err := os.Stat(dir)
	if err != nil {
		return &bwcommand.UsageError{Err: fmt.Errorf("directory for plots: %w", err)}
	}
	if !info.IsDir() {
		return &bwcommand.UsageError{Err: fmt.Errorf("directory for plots: %s is no directory", filepath.Clean(dir))}
	}
	return nil
}

func writeOverloadReport(path string, rep overloadReport) error {
	data, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}
