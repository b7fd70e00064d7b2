package bwcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

// Kinds of file that check knows.
const (
	routerKind = "router"
	agentKind  = "agent"
	ticketKind = "ticket"
)

func newCheckCommand(cfg *Config) *cobra.Command {
	pr, chk := &bwprint.Printer{}, &checkFlags{}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report every fault of a settings file or a ticket",
		Long: "Report every fault of a settings file or a ticket. The kind of the file follows from its\n" +
			"fields (Callers: router, Upstream: agent, Number: ticket) unless --kind names it.\n" +
			"A ticket is checked as the first one, unless --state gives the state that it would follow.",
		Example:           "  bilberrywick check router.json\n  bilberrywick check --kind agent agent.json --output json\n" + stateExample,
		Args:              exactArgs("FILE"),
		ValidArgsFunction: completeJSONFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cfg.validate(cmd.OutOrStdout(), pr, args[0], chk)
		},
	}
	pr.AddFlags(cmd)
	chk.addStateFlag(cmd)
	cmd.Flags().StringVar(&chk.kind, "kind", "", "kind of the file: router, agent or ticket")
	kinds := []string{routerKind, agentKind, ticketKind}
	_ = cmd.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(kinds, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

const stateExample = "  bilberrywick ticket show --output json > state.json && bilberrywick check ticket-2.json --state state.json"

// checkFlags say what a file is checked as.
type checkFlags struct {
	// kind is empty when the file's fields tell it.
	kind string
	// state names a file with the state in force; empty means the empty state.
	state string
}

func (chk *checkFlags) addStateFlag(cmd *cobra.Command) {
	const usage = "file with the state that a ticket would follow, as ticket show --output json prints it; the empty state when not set"
	cmd.Flags().StringVar(&chk.state, "state", "", usage)
	completeFlag(cmd, "state", "json")
}

// stateDocument returns the state to check against, or nil for the empty one.
func (chk *checkFlags) stateDocument() (*bwwire.StateDocument, error) {
	if chk.state == "" {
		return nil, nil
	}
	data, err := os.ReadFile(chk.state)
	if err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	doc := &bwwire.StateDocument{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, fmt.Errorf("read state %s: %w", chk.state, err)
	}
	return doc, nil
}

// validate prints the faults of a file, and returns them as the command's error.
func (cfg *Config) validate(out io.Writer, pr *bwprint.Printer, file string, chk *checkFlags) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	kind := chk.kind
	if kind == "" {
		kind = kindOf(data)
	}
	err = cfg.decode(kind, data, chk)
	var faults *bwsettings.Error
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	res := &validateResult{File: file, Kind: kind, Valid: err == nil}
	if faults != nil {
		res.Faults = faults.Faults
		if kind == ticketKind && chk.state == "" {
			res.Note = "checked as the first ticket; --state gives another state that it would follow"
		}
	}
	if err := pr.Print(out, res, res.write); err != nil {
		return err
	}
	if faults != nil {
		return &faultsPrintedError{file: file, faults: faults}
	}
	return nil
}

func (cfg *Config) decode(kind string, data []byte, chk *checkFlags) error {
	switch kind {
	case routerKind:
		_, err := bwsettings.DecodeRouter(data)
		return err
	case agentKind:
		_, err := bwsettings.DecodeAgent(data)
		return err
	case ticketKind:
		doc, err := bwsettings.DecodeTicket(data)
		if err != nil || cfg.CheckTicket == nil {
			return err
		}
		st, err := chk.stateDocument()
		if err != nil {
			return err
		}
		return cfg.CheckTicket(doc, st)
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
		bwprint.Linef(out, "%s: valid %s", res.File, res.Kind)
	}
	for _, ft := range res.Faults {
		bwprint.Linef(out, "%s: %v", res.File, ft)
	}
	if res.Note != "" {
		bwprint.Linef(out, "%s: %s", res.File, res.Note)
	}
}

// faultsPrintedError carries faults that the output lists already.
type faultsPrintedError struct {
	file   string
	faults *bwsettings.Error
}

// Error returns the file and the number of faults.
func (err *faultsPrintedError) Error() string {
	if len(err.faults.Faults) == 1 {
		return err.file + ": 1 fault"
	}
	return fmt.Sprintf("%s: %d faults", err.file, len(err.faults.Faults))
}

// Unwrap returns the faults.
func (err *faultsPrintedError) Unwrap() error { return err.faults }
