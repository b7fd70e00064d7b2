package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwgateway"
	bwplatform "bilberrywick/platform"
)

// Forms of output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

func newCheckCommand() *cobra.Command {
	var settings, state, output string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file or a state, and show what a process would believe",
		Example: "  bilberrywick-gateway check --settings gateway.json\n  bilberrywick-gateway check --state state.json --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" && state == "" {
				return errors.New("name a file with --settings or --state")
			}
			if settings != "" {
				sts, err := bwgateway.LoadSettings(settings)
				if err != nil {
					return fmt.Errorf("%s: %w", settings, err)
				}
				if err := show(cmd.OutOrStdout(), output, sts); err != nil {
					return err
				}
			}
			if state == "" {
				return nil
			}
			data, err := os.ReadFile(state)
			if err != nil {
				return err
			}
			cfg, err := bwplatform.DecodeManifest(data)
			if err != nil {
				return fmt.Errorf("%s: %w", state, err)
			}
			return show(cmd.OutOrStdout(), output, cfg)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "", "settings file to check")
	cmd.Flags().StringVar(&state, "state", "", "state of routes, services and teams to check, as operators write it")
	cmd.Flags().StringVar(&output, "output", textOutput, "form of the output: text or json")
	return cmd
}

func show(out io.Writer, form string, val any) error {
	if form == jsonOutput {
		return writeJSON(out, val)
	}
	_, err := fmt.Fprintf(out, "%+v\n", val)
	return err
}

func writeJSON(out io.Writer, val any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}
