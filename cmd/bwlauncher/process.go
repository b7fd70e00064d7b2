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

// Config holds what the commands need from the program.
type Config struct {
	Version string
	// LogOutput receives the processes' logs.
	LogOutput io.Writer
}

// stopMargin is added to the drain time before a stop is given up.
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
	var path string
	cmd := &cobra.Command{
		Use:     "router",
		Short:   "Run a router on an entry VM",
		Long:    "Run a router on an entry VM until SIGTERM or a drain through the\nadministration API, then drain it and exit. A second signal ends it at once.",
		Example: "  bilberrywick router --settings /etc/bilberrywick/router.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := bwsettings.LoadRouter(path)
			if err != nil {
				return err
			}
			return runRouter(cmd.Context(), cfg, *set)
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

func newAgentCommand(cfg Config) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "agent",
		Short:   "Run the agent beside an upstream",
		Long:    "Run the agent beside an upstream until SIGTERM or a drain through the\nadministration API, then drain it and exit. A second signal ends it at once.",
		Example: "  bilberrywick agent --settings /etc/bilberrywick/agent.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := bwsettings.LoadAgent(path)
			if err != nil {
				return err
			}
			return runAgent(cmd.Context(), cfg, *set)
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

func addSettingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "settings file (JSON); check it with bilberrywick check")
	if err := errors.Join(cmd.MarkFlagRequired("settings"), cmd.MarkFlagFilename("settings", "json")); err != nil {
		panic(fmt.Sprintf("flag of %s: %v", cmd.Name(), err))
	}
}

func runRouter(ctx context.Context, cfg Config, set bwsettings.Router) error {
	rtr, err := bwrouter.New(bwrouter.Config{Settings: set, Version: cfg.Version, LogOutput: cfg.LogOutput})
	if err != nil {
		return err
	}
	return serve(ctx, set.DrainTime, process{start: rtr.Start, stop: rtr.Stop, asked: rtr.StopRequested()})
}

func runAgent(ctx context.Context, cfg Config, set bwsettings.Agent) error {
	agt, err := bwagent.New(bwagent.Config{Settings: set, Version: cfg.Version, LogOutput: cfg.LogOutput})
	if err != nil {
		return err
	}
	return serve(ctx, set.DrainTime, process{start: agt.Start, stop: agt.Stop, asked: agt.StopRequested()})
}

// process is a router or an agent.
type process struct {
	start func(context.Context)
	stop  func(context.Context) error
	// asked is closed when an operator has asked the process to end.
	asked <-chan struct{}
}

// serve runs a process until the context ends or an operator asks it to end,
// then drains it.
func serve(ctx context.Context, drain time.Duration, prc process) error {
	// The process outlives the signal that ends the context, until it has drained.
	prc.start(context.WithoutCancel(ctx))
	select {
	case <-ctx.Done():
	case <-prc.asked:
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain+stopMargin)
	defer cancel()
	if err := prc.stop(stopping); err != nil {
		return errors.Join(errors.New("stopped with work left"), err)
	}
	return nil
}
