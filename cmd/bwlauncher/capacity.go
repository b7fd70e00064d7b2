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
		Short:   "Measure slopes and work out what a fleet of the target size needs",
		Example: "  bilberrywick capacity measure --slopes slopes.json\n  bilberrywick capacity table --slopes docs/capacity-slopes.json",
	}
	cmd.AddCommand(newCapacityMeasure(), newCapacityTable())
	return cmd
}

func newCapacityMeasure() *cobra.Command {
	var slopes string
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Measure every slope on this machine, which takes a few minutes",
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
			return mst.Save(slopes)
		},
	}
	pr.AddFlags(cmd)
	cmd.Flags().StringVar(&slopes, "slopes", "capacity-slopes.json", "file for the slopes")
	return cmd
}

func newCapacityTable() *cobra.Command {
	var slopes string
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "table",
		Short:   "Work out the cost of each mechanism at the target size",
		Example: "  bilberrywick capacity table --slopes docs/capacity-slopes.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			mst, err := bwcapacity.LoadMeasurement(slopes)
			if err != nil {
				return err
			}
			rows, err := bwcapacity.EstimateCosts(mst, bwcapacity.TargetScale())
			if err != nil {
				return err
			}
			return pr.Print(cmd.OutOrStdout(), rows, func(out io.Writer) {
				// A failed write shows when the output is flushed.
				_ = bwcapacity.WriteMarkdown(out, rows)
			})
		},
	}
	pr.AddFlags(cmd)
	cmd.Flags().StringVar(&slopes, "slopes", "docs/capacity-slopes.json", "file with the slopes")
	return cmd
}
