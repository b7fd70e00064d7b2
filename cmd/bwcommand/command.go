package bwcommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwwire"
)

// Config holds what the commands need from the program.
type Config struct {
	// Version is the program's version.
	Version string
	// Output receives results, and Errors receives messages.
	Output      io.Writer
	ErrorOutput io.Writer
	// Now is the clock; nil means the system's.
	Now func() time.Time
	// Getenv reads the environment; nil means an empty one.
	Getenv func(string) string
	// CheckTicket reports the faults of a ticket that would follow a state as a
	// *bwsettings.Error; a nil state is empty. Nil leaves that check to the process
	// that accepts the ticket.
	CheckTicket func(*bwwire.TicketDocument, *bwwire.StateDocument) error
	// Commands are added to those of this package: the processes, the stand-ins
	// and the bench, which only the program itself links. They must not set
	// PersistentPreRun, which Run uses.
	Commands []*cobra.Command
}

// Run runs the command that the arguments name, and returns the exit code.
func Run(ctx context.Context, cfg Config, args []string) int {
	root := New(cfg)
	root.SetArgs(args)
	started := false
	// cobra's own errors on commands and arguments come before this hook.
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	err := root.ExecuteContext(ctx)
	if err != nil && !started {
		err = &UsageError{Err: err}
	}
	if err != nil {
		_, _ = fmt.Fprintf(root.ErrOrStderr(), "bilberrywick: %v\n", err)
	}
	return ExitCode(err)
}

// New returns the root command.
func New(cfg Config) *cobra.Command {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Getenv == nil {
		cfg.Getenv = emptyEnvironment
	}
	root := &cobra.Command{
		Use:           "bilberrywick",
		Short:         "Serve long generations and at-most-once actions",
		Long:          "Serve long generations and at-most-once actions.\n\n" + exitCodesHelp,
		Example:       "  bilberrywick status --address 127.0.0.1:7002",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(cfg.Output)
	root.SetErr(cfg.ErrorOutput)
	root.SetFlagErrorFunc(flagError)
	root.AddCommand(newTicketCommand(&cfg), newCheckCommand(&cfg), newStatusCommand(&cfg), newVersionCommand(&cfg))
	root.AddCommand(cfg.Commands...)
	return root
}

func emptyEnvironment(string) string { return "" }

func flagError(_ *cobra.Command, err error) error { return &UsageError{Err: err} }

// needSubcommand refuses a command that only groups others.
func needSubcommand(cmd *cobra.Command, args []string) error {
	return &UsageError{Err: fmt.Errorf("%s has no subcommand %q; see %s --help", cmd.CommandPath(), args, cmd.CommandPath())}
}

// exactArgs returns a check of the number of arguments that names them.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return &UsageError{Err: fmt.Errorf("%s takes %d arguments %v, got %d", cmd.CommandPath(), len(names), names, len(args))}
		}
		return nil
	}
}
