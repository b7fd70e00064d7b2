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

// Kinds of file that the check command accepts.
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
		Long: "Report every fault of a settings file or a ticket. The kind of the file is detected from its\n" +
			"fields (Callers: router, Upstream: agent, Number: ticket) unless --kind sets it.\n" +
			"A ticket is checked as the first one, unless --state gives the state that it would be applied to.",
		Example:           "  bilberrywick check router.json\n  bilberrywick check --kind agent agent.json --output json\n" + stateExample,
		Args:              exactArgs("FILE"),
		ValidArgsFunction: completeJSONFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cfg.validateFile(cmd.OutOrStdout(), pr, args[0], chk)
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

// checkFlags holds the flags of the commands that check a file.
type checkFlags struct {
	// kind is the kind of the file; empty means that it is detected.
	kind string
	// stateFile names a file with the state in effect; empty means the empty state.
	stateFile string
}

func (chk *checkFlags) addStateFlag(cmd *cobra.Command) {
	const usage = "file with the state that the ticket would be applied to, as printed by ticket show --output json; the empty state when not set"
	cmd.Flags().StringVar(&chk.stateFile, "state", "", usage)
	completeFlag(cmd, "state", "json")
}

// readState reads the state file, or returns nil, the empty state, when no file is set.
func (chk *checkFlags) readState() (*bwwire.StateDocument, error) {
	if chk.stateFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(chk.stateFile)
	if err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	doc := &bwwire.StateDocument{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, fmt.Errorf("read state %s: %w", chk.stateFile, err)
	}
	return doc, nil
}

// validateFile prints the faults of a file and returns them as a *printedFaultsError.
func (cfg *Config) validateFile(out io.Writer, pr *bwprint.Printer, file string, chk *checkFlags) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	kind := chk.kind
	if kind == "" {
		kind = detectKind(data)
	}
	err = cfg.checkData(kind, data, chk)
	var faults *bwsettings.Error
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	res := &validateResult{File: file, Kind: kind, Valid: err == nil}
	if faults != nil {
		res.Faults = faults.Faults
		if kind == ticketKind && chk.stateFile == "" {
			res.Note = "checked as the first ticket; --state gives another state that it would follow"
		}
	}
	if err := pr.Print(out, res, res.write); err != nil {
		return err
	}
	if faults != nil {
		return &printedFaultsError{file: file, faults: faults}
	}
	return nil
}

func (cfg *Config) checkData(kind string, data []byte, chk *checkFlags) error {
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
		st, err := chk.readState()
		if err != nil {
			return err
		}
		return cfg.CheckTicket(doc, st)
	case "":
		return &UsageError{Err: errors.New("cannot detect the kind of the file from its fields; set --kind")}
	}
	return &UsageError{Err: fmt.Errorf("--kind %q: want router, agent or ticket", kind)}
}

// detectKind returns the kind of a file by a field that only this kind has, or an empty string.
func detectKind(data []byte) string {
	var fields struct{ Callers, Upstream, Number json.RawMessage }
	_ = json.Unmarshal(data, &fields)
	switch {
	case fields.Callers != nil:
		return routerKind
	case fields.Upstream != nil:
		return agentKind
	case fields.Number != nil:
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

// printedFaultsError wraps faults that the command has printed; its text only counts them.
type printedFaultsError struct {
	file   string
	faults *bwsettings.Error
}

// Error returns the file and the number of faults.
func (err *printedFaultsError) Error() string {
	if len(err.faults.Faults) == 1 {
		return err.file + ": 1 fault"
	}
	return fmt.Sprintf("%s: %d faults", err.file, len(err.faults.Faults))
}

// Unwrap returns the faults.
func (err *printedFaultsError) Unwrap() error { return err.faults }
