package bwlauncher

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/cmd/bwprint"
	"bilberrywick/core/bwmodel"
	"bilberrywick/standin/bwfakeengine"
)

const (
	devTokenTime      = 20 * time.Millisecond
	devFirstTokenTime = 50 * time.Millisecond
	devSlots          = 8
)

func newDevCommand(cfg Config) *cobra.Command {
	var demo, verbose bool
	pr := &bwprint.Printer{}
	dev := bwdev.Config{
		Engine: bwfakeengine.Config{TokenTime: devTokenTime, FirstTokenTime: devFirstTokenTime, Slots: devSlots, CacheBlocks: 1024},
	}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete fleet on loopback with stand-ins",
		Long: "Run a complete fleet on loopback with stand-ins in one process, without TLS.\n" +
			"With --demo, run a demonstration from the first ticket to an action, print its results and exit.",
		Example: "  bilberrywick dev --demo\n  bilberrywick dev --routers 3 --engines 6",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logs := io.Discard
			if verbose {
				logs = cfg.LogOutput
			}
			if demo {
				return runDemo(cmd.Context(), cmd.OutOrStdout(), pr, logs)
			}
			dev.LogOutput = logs
			return runDev(cmd.Context(), dev, cmd.OutOrStdout(), pr)
		},
	}
	pr.AddFlags(cmd)
	flags := cmd.Flags()
	flags.BoolVar(&demo, "demo", false, "run the demonstration and exit")
	flags.BoolVar(&verbose, "verbose", false, "print the processes' logs to standard error")
	flags.IntVar(&dev.Routers, "routers", 2, "number of routers")
	flags.IntVar(&dev.Engines, "engines", 3, "number of model engines with agents")
	flags.IntVar(&dev.Apps, "apps", 2, "number of instances of the plain service with agents")
	return cmd
}

// runDemo runs the demonstration; JSON output is printed after it has ended.
func runDemo(ctx context.Context, out io.Writer, pr *bwprint.Printer, logs io.Writer) error {
	if pr.IsText() {
		return bwdev.RunDemo(ctx, out, logs)
	}
	var text strings.Builder
	demoErr := bwdev.RunDemo(ctx, &text, logs)
	res := struct{ Lines []string }{strings.Split(strings.TrimSpace(text.String()), "\n")}
	return errors.Join(demoErr, pr.Print(out, res, nil))
}

// devFleet is the output of the dev command: the addresses and keys for callers and operators.
type devFleet struct {
	Routers     []devRouter
	Teams       []devTeam
	OperatorKey string
}

type devRouter struct {
	Member             bwmodel.MemberID
	Callers, Operators netip.AddrPort
}

type devTeam struct {
	Name bwmodel.TeamID
	Key  string
}

func runDev(ctx context.Context, cfg bwdev.Config, out io.Writer, pr *bwprint.Printer) error {
	flt, err := bwdev.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer flt.Close()
	dfl := &devFleet{OperatorKey: bwdev.OperatorKey}
	for _, rtr := range flt.Routers {
		dfl.Routers = append(dfl.Routers, devRouter{Member: rtr.Member().ID, Callers: rtr.CallerAddress(), Operators: rtr.OperatorAddress()})
	}
	for _, team := range flt.Teams() {
		dfl.Teams = append(dfl.Teams, devTeam{Name: team.Name, Key: team.Key})
	}
	if err := pr.Print(out, dfl, dfl.write); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (dfl *devFleet) write(out io.Writer) {
	for _, rtr := range dfl.Routers {
		bwprint.Linef(out, "%s: callers %v, operators %v", rtr.Member, rtr.Callers, rtr.Operators)
	}
	for _, team := range dfl.Teams {
		bwprint.Linef(out, "team %s: key %s", team.Name, team.Key)
	}
	bwprint.Linef(out, "operators' key: %s", dfl.OperatorKey)
}
