package bwcommand

import (
	"io"
	"runtime"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/io/bwadmin"
)

func newVersionCommand(cfg *Config) *cobra.Command {
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the program's version",
		Example: "  bilberrywick version --output json",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			vrs := &bwadmin.VersionResponse{Version: cfg.Version, Go: runtime.Version()}
			return pr.Print(cmd.OutOrStdout(), vrs, func(out io.Writer) {
				bwprint.Linef(out, "bilberrywick %s (%s)", vrs.Version, vrs.Go)
			})
		},
	}
	pr.AddFlags(cmd)
	return cmd
}
