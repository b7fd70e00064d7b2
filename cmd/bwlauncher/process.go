package bwlauncher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwsettings"
)

// Config holds the program's version and log output, which the commands use.
type Config struct {
	Version string
	// LogOutput receives the processes' logs.
	LogOutput io.Writer
}

// stopMargin is added to the drain time to give the deadline of a stop.
const stopMargin = 10 * time.Second

// Commands returns the commands that run processes.
func Commands(cfg Config) []*cobra.Command {
	return []*cobra.Command{
		newRouterCommand(cfg),
		newAgentCommand(cfg),
		newDevCommand(cfg),
		newBenchCommand(cfg),
		newSoakCommand(cfg),
		newCapacityCommand(),
		newStandinCommand(),
	}
}

func newRouterCommand(cfg Config) *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:     "router",
		Short:   "Run a router on an entry VM",
		Long:    "Run a router on an entry VM until SIGINT, SIGTERM or a drain through the\nadministration API, then drain it and exit. A second signal ends it at once.",
		Example: "  bilberrywick router --settings /etc/bilberrywick/router.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := bwsettings.LoadRouter(settingsFile)
			if err != nil {
				return err
			}
			return runRouter(cmd.Context(), cfg, *set)
		},
	}
	addSettingsFlag(cmd, &settingsFile)
	return cmd
}

func newAgentCommand(cfg Config) *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:     "agent",
		Short:   "Run the agent beside an upstream",
		Long:    "Run the agent beside an upstream until SIGINT, SIGTERM or a drain through the\nadministration API, then drain it and exit. A second signal ends it at once.",
		Example: "  bilberrywick agent --settings /etc/bilberrywick/agent.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := bwsettings.LoadAgent(settingsFile)
			if err != nil {
				return err
			}
			return runAgent(cmd.Context(), cfg, *set)
		},
	}
	addSettingsFlag(cmd, &settingsFile)
	return cmd
}

func addSettingsFlag(cmd *cobra.Command, settingsFile *string) {
	cmd.Flags().StringVar(settingsFile, "settings", "", "settings file (JSON); check it with bilberrywick check")
	if err := errors.Join(cmd.MarkFlagRequired("settings"), cmd.MarkFlagFilename("settings", "json")); err != nil {
		panic(fmt.Sprintf("flag of %s: %v", cmd.Name(), err))
	}
}

func runRouter(ctx context.Context, cfg Config, set bwsettings.Router) error {
	rtr, err := bwrouter.New(bwrouter.Config{Settings: set, Version: cfg.Version, LogOutput: cfg.LogOutput})
	if err != nil {
		return err
	}
	return runUntilStopped(ctx, set.DrainTime, process{start: rtr.Start, stop: rtr.Stop, stopRequested: rtr.StopRequested()})
}

func runAgent(ctx context.Context, cfg Config, set bwsettings.Agent) error {
	agt, err := bwagent.New(bwagent.Config{Settings: set, Version: cfg.Version, LogOutput: cfg.LogOutput})
	if err != nil {
		return err
	}
	return runUntilStopped(ctx, set.DrainTime, process{start: agt.Start, stop: agt.Stop, stopRequested: agt.StopRequested()})
}

// process holds the functions that start and stop a router or an agent.
type process struct {
	start func(context.Context)
	stop  func(context.Context) error
	// stopRequested is closed when an operator has requested a drain of the process.
	stopRequested <-chan struct{}
}

// runUntilStopped runs a process until the context ends or an operator requests a
// drain, then drains and stops it within drainTime and stopMargin.
func runUntilStopped(ctx context.Context, drainTime time.Duration, prc process) error {
	// ctx ends at the first signal, but the process must run until it has drained.
	prc.start(context.WithoutCancel(ctx))
	select {
	case <-ctx.Done():
	case <-prc.stopRequested:
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime+stopMargin)
	defer cancel()
	if err := prc.stop(stopCtx); err != nil {
		return errors.Join(errors.New("stopped before all work was done"), err)
	}
	return nil
}
