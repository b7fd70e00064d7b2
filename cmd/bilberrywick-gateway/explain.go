package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/io/bwobserve"
)

func newExplainCommand() *cobra.Command {
	var path string
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "explain REQUEST",
		Short:   "Show from a log how a request was handled",
		Example: "  bilberrywick-gateway explain 9c41d07be2a35f68 --log gateways.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := cmd.InOrStdin()
			if path != "-" {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				// The file was only read, so closing loses no data.
				defer func() { _ = file.Close() }()
				log = file
			}
			exp, err := bwobserve.Explain(log, args[0])
			if err != nil {
				return err
			}
			return pr.Print(cmd.OutOrStdout(), exp, func(out io.Writer) {
				// A write error is reported when the output is flushed.
				_ = exp.WriteText(out)
			})
		},
	}
	cmd.Flags().StringVar(&path, "log", "-", "file with the log lines of one or more processes; - is standard input")
	pr.AddFlags(cmd)
	return cmd
}
