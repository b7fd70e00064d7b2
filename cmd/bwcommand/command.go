package bwcommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwwire"
)

// Config holds the program's version, streams and hooks that the commands use.
type Config struct {
	// Version is the program's version.
	Version string
	// Output receives results, and ErrorOutput receives error messages.
	Output      io.Writer
	ErrorOutput io.Writer
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Getenv returns an environment variable; nil means an empty environment.
	Getenv func(string) string
	// CheckTicket returns the faults of a ticket applied to a state as a
	// *bwsettings.Error; a nil state is empty. If CheckTicket is nil, only the
	// process that accepts the ticket does this check.
	CheckTicket func(*bwwire.TicketDocument, *bwwire.StateDocument) error
	// Commands are further subcommands of the root: the processes, the stand-ins
	// and the benchmarks, which this package doesn't import. They must not set
	// PersistentPreRun, which Run uses.
	Commands []*cobra.Command
}

// Run executes the command that args name, prints its error and returns the exit code.
func Run(ctx context.Context, cfg Config, args []string) int {
	root := New(cfg)
	root.SetArgs(args)
	parsed := false
	// cobra reports errors in commands and arguments before it calls this hook.
	root.PersistentPreRun = func(*cobra.Command, []string) { parsed = true }
	err := root.ExecuteContext(ctx)
	if err != nil && !parsed {
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

// requireSubcommand returns a usage error for a command that only groups subcommands.
func requireSubcommand(cmd *cobra.Command, args []string) error {
	return &UsageError{Err: fmt.Errorf("%s has no subcommand %q; see %s --help", cmd.CommandPath(), args, cmd.CommandPath())}
}

// exactArgs returns a validator of the number of arguments; its error lists their names.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return &UsageError{Err: fmt.Errorf("%s takes %d arguments %v, got %d", cmd.CommandPath(), len(names), names, len(args))}
		}
		return nil
	}
}
