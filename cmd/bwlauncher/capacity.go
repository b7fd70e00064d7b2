package bwlauncher

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/bench/bwcapacity"
)

func newCapacityCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure slopes and work out what a fleet of the target size needs",
		Example: "  bilberrywick capacity measure --output slopes.json\n  bilberrywick capacity table --slopes docs/capacity-slopes.json",
	}
	cmd.AddCommand(newCapacityMeasure(), newCapacityTable())
	return cmd
}

func newCapacityMeasure() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Measure every slope on this machine, which takes a few minutes",
		Example: "  bilberrywick capacity measure --output docs/capacity-slopes.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			mst, err := bwcapacity.MeasureAll(time.Now)
			if err != nil {
				return err
			}
			for _, slp := range mst.Slopes {
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: %.1f + %.2f × %s, %s\n", slp.Name, slp.Base, slp.Each, slp.Size, slp.Unit); err != nil {
					return err
				}
			}
			return mst.Save(output)
		},
	}
	cmd.Flags().StringVar(&output, "output", "capacity-slopes.json", "file for the slopes")
	return cmd
}

func newCapacityTable() *cobra.Command {
	var slopes string
	cmd := &cobra.Command{
		Use:     "table",
		Short:   "Work out the cost of each mechanism at the target size",
		Example: "  bilberrywick capacity table --slopes docs/capacity-slopes.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			mst, err := bwcapacity.Load(slopes)
			if err != nil {
				return err
			}
			rows, err := bwcapacity.Rows(mst, bwcapacity.TargetScale())
			if err != nil {
				return err
			}
			return bwcapacity.WriteMarkdown(cmd.OutOrStdout(), rows)
		},
	}
	cmd.Flags().StringVar(&slopes, "slopes", "docs/capacity-slopes.json", "file with the slopes")
	return cmd
}
