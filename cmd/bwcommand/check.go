package bwcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bilberrywick/io/bwsettings"
)

// Kinds of file that check knows.
const (
	routerKind = "router"
	agentKind  = "agent"
	ticketKind = "ticket"
)

func newCheckCommand(cfg *Config) *cobra.Command {
	pr, kind := &printer{}, ""
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report every fault of a settings file or a ticket",
		Long: "Report every fault of a settings file or a ticket. The kind of the file follows from its\n" +
			"fields (Callers: router, Upstream: agent, Number: ticket) unless --kind names it.",
		Example: "  bilberrywick check router.json\n  bilberrywick check --kind agent agent.json --output json",
		Args:    exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return cfg.validate(cmd.OutOrStdout(), pr, args[0], kind)
		},
	}
	pr.addFlags(cmd)
	cmd.Flags().StringVar(&kind, "kind", "", "kind of the file: router, agent or ticket")
	kinds := []string{routerKind, agentKind, ticketKind}
	_ = cmd.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(kinds, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

// validate prints the faults of a file, and returns them as the command's error.
func (cfg *Config) validate(out io.Writer, pr *printer, file, kind string) error {
	if err := pr.check(); err != nil {
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if kind == "" {
		kind = kindOf(data)
	}
	err = cfg.decode(kind, data)
	var faults *bwsettings.Error
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	res := &validateResult{File: file, Kind: kind, Valid: err == nil}
	if faults != nil {
		res.Faults = faults.Faults
	}
	if err := pr.print(out, res, res.write); err != nil {
		return err
	}
	if faults != nil {
		return &faultsPrintedError{file: file, faults: faults}
	}
	return nil
}

func (cfg *Config) decode(kind string, data []byte) error {
	switch kind {
	case routerKind:
		_, err := bwsettings.DecodeRouter(data)
		return err
	case agentKind:
		_, err := bwsettings.DecodeAgent(data)
		return err
	case ticketKind:
		doc, err := bwsettings.DecodeTicket(data)
		if err == nil && cfg.CheckTicket != nil {
			err = cfg.CheckTicket(doc)
		}
		return err
	case "":
		return &UsageError{Err: errors.New("the kind of the file can't be told from its fields; name it with --kind")}
	}
	return &UsageError{Err: fmt.Errorf("--kind %q: want router, agent or ticket", kind)}
}

// kindOf tells the kind of a file from a field that only this kind has.
func kindOf(data []byte) string {
	var probe struct{ Callers, Upstream, Number json.RawMessage }
	_ = json.Unmarshal(data, &probe)
	switch {
	case probe.Callers != nil:
		return routerKind
	case probe.Upstream != nil:
		return agentKind
	case probe.Number != nil:
		return ticketKind
	}
	return ""
}

func (res *validateResult) write(out io.Writer) {
	if res.Valid {
		writeLine(out, "%s: valid %s", res.File, res.Kind)
	}
	for _, ft := range res.Faults {
		writeLine(out, "%s: %v", res.File, ft)
	}
}

// faultsPrintedError carries faults that the output lists already.
type faultsPrintedError struct {
	file   string
	faults *bwsettings.Error
}

func (err *faultsPrintedError) Error() string {
	return fmt.Sprintf("%s: %d faults", err.file, len(err.faults.Faults))
}

func (err *faultsPrintedError) Unwrap() error { return err.faults }
