package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwgateway"
	"bilberrywick/io/bwobserve"
	bwplatform "bilberrywick/platform"
)

// Forms of output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

func newExplainCommand() *cobra.Command {
	var path, output string
	cmd := &cobra.Command{
		Use:     "explain REQUEST",
		Short:   "Tell from a log what became of a request",
		Example: "  bilberrywick-gateway explain 9c41d07be2a35f68 --log gateways.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := cmd.InOrStdin()
			if path != "-" {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				// Nothing was written.
				defer func() { _ = file.Close() }()
				log = file
			}
			exp, err := bwobserve.Explain(log, args[0])
			if err != nil {
				return err
			}
			if output == jsonOutput {
				return writeJSON(cmd.OutOrStdout(), exp)
			}
			return exp.WriteText(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "log", "-", "file with the log lines of one or more processes; - is standard input")
	cmd.Flags().StringVar(&output, "output", textOutput, "form of the output: text or json")
	return cmd
}

func newCheckCommand() *cobra.Command {
	var settings, manifest, output string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file or a manifest, and show what a process would believe",
		Example: "  bilberrywick-gateway check --settings gateway.json\n  bilberrywick-gateway check --manifest manifest.json --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" && manifest == "" {
				return fmt.Errorf("name a file with --settings or --manifest")
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
			if manifest == "" {
				return nil
			}
			data, err := os.ReadFile(manifest)
			if err != nil {
				return err
			}
			cfg, err := bwplatform.DecodeManifest(data)
			if err != nil {
				return fmt.Errorf("%s: %w", manifest, err)
			}
			return show(cmd.OutOrStdout(), output, cfg)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "", "settings file to check")
	cmd.Flags().StringVar(&manifest, "manifest", "", "manifest to check, as the operators' store holds it")
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
