package bwlauncher

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/bench/bwcapacity"
	"bilberrywick/cmd/bwprint"
)

func newCapacityCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure costs as linear functions of size and compute what a fleet of the target size needs",
		Example: "  bilberrywick capacity measure --slopes slopes.json\n  bilberrywick capacity table --slopes docs/capacity-slopes.json",
	}
	cmd.AddCommand(newCapacityMeasureCommand(), newCapacityTableCommand())
	return cmd
}

func newCapacityMeasureCommand() *cobra.Command {
	var slopesFile string
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Measure the slope of every cost on this machine; takes a few minutes",
		Example: "  bilberrywick capacity measure --slopes docs/capacity-slopes.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			mst, err := bwcapacity.MeasureAll(time.Now)
			if err != nil {
				return err
			}
			err = pr.Print(cmd.OutOrStdout(), mst, func(out io.Writer) {
				for _, slp := range mst.Slopes {
					bwprint.Linef(out, "%s: %.1f + %.2f × %s, %s", slp.Name, slp.Base, slp.Each, slp.Size, slp.Unit)
				}
			})
			if err != nil {
				return err
			}
			return mst.Save(slopesFile)
		},
	}
	pr.AddFlags(cmd)
	cmd.Flags().StringVar(&slopesFile, "slopes", "capacity-slopes.json", "file to write the slopes to")
	return cmd
}

func newCapacityTableCommand() *cobra.Command {
	var slopesFile string
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "table",
		Short:   "Compute the cost of each mechanism at the target size",
		Example: "  bilberrywick capacity table --slopes docs/capacity-slopes.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			mst, err := bwcapacity.LoadMeasurement(slopesFile)
			if err != nil {
				return err
			}
			rows, err := bwcapacity.EstimateCosts(mst, bwcapacity.TargetScale())
			if err != nil {
				return err
			}
			return pr.Print(cmd.OutOrStdout(), rows, func(out io.Writer) {
				// Print returns a write error when it flushes the output.
				_ = bwcapacity.WriteMarkdown(out, rows)
			})
		},
	}
	pr.AddFlags(cmd)
	cmd.Flags().StringVar(&slopesFile, "slopes", "docs/capacity-slopes.json", "file with the slopes")
	return cmd
}
