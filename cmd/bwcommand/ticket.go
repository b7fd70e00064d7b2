package bwcommand

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

func newTicketCommand(cfg *Config) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "ticket",
		Short:   "Validate, apply, show and list change tickets",
		Example: "  bilberrywick ticket apply change.json --address 127.0.0.1:7002",
		RunE:    requireSubcommand,
	}
	cmd.AddCommand(newValidateCommand(cfg), newApplyCommand(cfg), newShowCommand(cfg), newListCommand(cfg))
	return cmd
}

// validateResult is the output of the commands ticket validate and check.
type validateResult struct {
	File   string
	Kind   string
	Valid  bool
	Faults []bwsettings.Fault `json:",omitempty"`
	// Note describes how the file was checked, when that may explain its faults.
	Note string `json:",omitempty"`
}

func newValidateCommand(cfg *Config) *cobra.Command {
	pr, chk := &bwprint.Printer{}, &checkFlags{kind: ticketKind}
	cmd := &cobra.Command{
		Use:   "validate FILE",
		Short: "Report every fault of a ticket without a connection",
		Long: "Report every fault of a ticket without a connection. The ticket is checked as the first\n" +
			"one, unless --state gives the state that it would be applied to.",
		Example:           "  bilberrywick ticket validate change.json\n  bilberrywick ticket validate change.json --state state.json",
		Args:              exactArgs("FILE"),
		ValidArgsFunction: completeJSONFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cfg.validateFile(cmd.OutOrStdout(), pr, args[0], chk)
		},
	}
	pr.AddFlags(cmd)
	chk.addStateFlag(cmd)
	return cmd
}

func newApplyCommand(cfg *Config) *cobra.Command {
	cn, pr, dryRun := &connectionFlags{cfg: cfg}, &bwprint.Printer{}, false
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Submit a ticket and wait for the decision",
		Long: "Submit a ticket and wait for the decision. A ticket that was accepted before gets\n" +
			"the same response, so after an unknown outcome (exit code 6) run the command again.",
		Example:           "  bilberrywick ticket apply change.json --dry-run\n  bilberrywick ticket apply change.json --output json",
		Args:              exactArgs("FILE"),
		ValidArgsFunction: completeJSONFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := bwsettings.LoadTicket(args[0])
			if err != nil {
				return err
			}
			cl, err := cn.client()
			if err != nil {
				return err
			}
			defer cl.Close()
			res, err := cl.Apply(cmd.Context(), &bwadmin.TicketRequest{Ticket: *doc, DryRun: dryRun})
			if err != nil {
				return markUnreachable(err)
			}
			return pr.Print(cmd.OutOrStdout(), res, func(out io.Writer) { writeTicketResult(out, res) })
		},
	}
	cn.addFlags(cmd)
	pr.AddFlags(cmd)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check against the state in effect and change nothing")
	return cmd
}

func writeTicketResult(out io.Writer, res *bwadmin.TicketResult) {
	bwprint.Linef(out, "Ticket %d: %s (head %d)", res.Number, res.Result, res.Head)
	for _, chg := range res.Changes {
		bwprint.Linef(out, "  %s\t%s\t%s", chg.Change, chg.Kind, chg.Name)
	}
}

func newShowCommand(cfg *Config) *cobra.Command {
	cn, pr := &connectionFlags{cfg: cfg}, &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "show [NUMBER]",
		Short:   "Show a ticket, or the state in effect with the ticket that set each object",
		Example: "  bilberrywick ticket show\n  bilberrywick ticket show 17 --output json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := cn.client()
			if err != nil {
				return err
			}
			defer cl.Close()
			if len(args) == 1 {
				return showTicket(cmd, cl, args[0])
			}
			return showState(cmd, cl, pr)
		},
	}
	cn.addFlags(cmd)
	pr.AddFlags(cmd)
	return cmd
}

// showTicket always prints JSON, since a ticket has no text format.
func showTicket(cmd *cobra.Command, cl *bwadmin.Client, arg string) error {
	num, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return &UsageError{Err: fmt.Errorf("NUMBER %q: want a ticket number", arg)}
	}
	doc, err := cl.Ticket(cmd.Context(), bwmodel.TicketNumber(num))
	if err != nil {
		return markUnreachable(err)
	}
	printer := bwprint.NewJSON()
	return printer.Print(cmd.OutOrStdout(), doc, nil)
}

func showState(cmd *cobra.Command, cl *bwadmin.Client, pr *bwprint.Printer) error {
	doc, err := cl.State(cmd.Context())
	if err != nil {
		return markUnreachable(err)
	}
	return pr.Print(cmd.OutOrStdout(), doc, func(out io.Writer) { writeState(out, doc) })
}

func writeState(out io.Writer, doc *bwwire.StateDocument) {
	bwprint.Linef(out, "State %d", doc.Number)
	bwprint.Linef(out, "KIND\tNAME\tSET BY\tDETAIL")
	for _, ent := range doc.Services {
		svc := ent.Service
		bwprint.Linef(out, "Service\t%s\t%d\t%s, %s, queue %d, deadline %v", svc.Name, ent.SetBy, svc.Kind, svc.Class, svc.QueueLimit, time.Duration(svc.Deadline))
	}
	for _, ent := range doc.Teams {
		bwprint.Linef(out, "Team\t%s\t%d\tweight %d, %d keys", ent.Team.Name, ent.SetBy, ent.Team.Weight, len(ent.Team.Keys))
	}
	for _, ent := range doc.Upstreams {
		ups := ent.Upstream
		drainSuffix := ""
		if ups.Draining {
			drainSuffix = ", draining"
		}
		bwprint.Linef(out, "Upstream\t%s\t%d\t%s in %s, agent %v, %d slots%s", ups.Name, ent.SetBy, ups.Service, ups.Zone, ups.Agent, ups.Slots, drainSuffix)
	}
}

func newListCommand(cfg *Config) *cobra.Command {
	cn, pr := &connectionFlags{cfg: cfg}, &bwprint.Printer{}
	var after uint64
	var limit int
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List accepted tickets",
		Example: "  bilberrywick ticket list --after 10 --limit 20",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := cn.client()
			if err != nil {
				return err
			}
			defer cl.Close()
			req := &bwadmin.TicketListRequest{After: bwmodel.TicketNumber(after), Limit: limit}
			list, err := cl.Tickets(cmd.Context(), req)
			if err != nil {
				return markUnreachable(err)
			}
			return pr.Print(cmd.OutOrStdout(), list, func(out io.Writer) { writeTicketList(out, list) })
		},
	}
	cn.addFlags(cmd)
	pr.AddFlags(cmd)
	cmd.Flags().Uint64Var(&after, "after", 0, "only tickets with a higher number")
	cmd.Flags().IntVar(&limit, "limit", 100, "number of tickets, at most 1000")
	return cmd
}

func writeTicketList(out io.Writer, list *bwadmin.TicketList) {
	bwprint.Linef(out, "NUMBER\tACCEPTED\tOBJECTS\tCOMMENT")
	for _, sum := range list.Tickets {
		accepted := "-"
		if !sum.Accepted.IsZero() {
			accepted = sum.Accepted.Format(time.RFC3339)
		}
		bwprint.Linef(out, "%d\t%s\t%d\t%s", sum.Number, accepted, sum.Objects, sum.Comment)
	}
	bwprint.Linef(out, "Head: %d", list.Head)
}
