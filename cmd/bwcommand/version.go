package bwcommand

import (
	"io"
	"runtime"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwadmin"
)

func newVersionCommand(cfg *Config) *cobra.Command {
	pr := &printer{}
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the program's version",
		Example: "  bilberrywick version --output json",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := pr.check(); err != nil {
				return err
			}
			vrs := &bwadmin.VersionResponse{Version: cfg.Version, Go: runtime.Version()}
			return pr.print(cmd.OutOrStdout(), vrs, func(out io.Writer) {
				writeLine(out, "bilberrywick %s (%s)", vrs.Version, vrs.Go)
			})
		},
	}
	pr.addFlags(cmd)
	return cmd
}
