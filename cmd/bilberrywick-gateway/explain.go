package main

import (
	"os"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwobserve"
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
