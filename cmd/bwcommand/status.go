package bwcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/io/bwadmin"
)

// fleetStatus is the output of the status command: the view of each queried process.
type fleetStatus struct{ Processes []processStatus }

// processStatus is the view of one process.
type processStatus struct {
	Address netip.AddrPort
	// Error is set when the process did not respond; the fields below are then empty.
	Error     string `json:",omitempty"`
	Ready     bool
	Reason    string                `json:",omitempty"`
	Members   *bwadmin.MemberList   `json:",omitempty"`
	Upstreams *bwadmin.UpstreamList `json:",omitempty"`
	Drains    *bwadmin.DrainList    `json:",omitempty"`

	err error
}

// statusCommand holds the flags and the output of the status command.
type statusCommand struct {
	cn            *connectionFlags
	pr            *bwprint.Printer
	watchInterval time.Duration
	out           io.Writer
}

func newStatusCommand(cfg *Config) *cobra.Command {
	stc := &statusCommand{cn: &connectionFlags{cfg: cfg}, pr: &bwprint.Printer{}}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show an overview of the fleet, as one or several processes see it",
		Long: "Show an overview of the fleet, as one or several processes see it. With several addresses the\n" +
			"views are merged, and differences between them are listed. The exit code is 5 when one of\n" +
			"the processes does not respond.",
		Example: "  bilberrywick status --address 127.0.0.1:7002\n" +
			"  bilberrywick status --address 192.0.2.10:7002,192.0.2.11:7002 --watch 2s",
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			stc.out = cmd.OutOrStdout()
			return stc.show(cmd.Context())
		},
	}
	stc.cn.addListFlags(cmd)
	stc.pr.AddFlags(cmd)
	cmd.Flags().DurationVar(&stc.watchInterval, "watch", 0, "interval at which the status is shown again, until interrupted; 0 shows it once")
	return cmd
}

func (stc *statusCommand) show(ctx context.Context) error {
	cls, err := stc.cn.clients()
	if err != nil {
		return err
	}
	for _, cl := range cls {
		defer cl.Close()
	}
	if stc.watchInterval <= 0 {
		return stc.showOnce(ctx, cls)
	}
	tick := time.NewTicker(stc.watchInterval)
	defer tick.Stop()
	for {
		if stc.pr.IsText() {
			// Clears the terminal and moves the cursor to the top left.
			_, _ = io.WriteString(stc.out, "\x1b[2J\x1b[H")
		}
		// The table lists processes that don't respond, so watching continues.
		if err := stc.showOnce(ctx, cls); err != nil && !isUnreachable(err) {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (stc *statusCommand) showOnce(ctx context.Context, cls []*bwadmin.Client) error {
	sts := &fleetStatus{}
	var failures error
	for ix, cl := range cls {
		pst := readStatus(ctx, cl)
		pst.Address = stc.cn.addresses[ix]
		if pst.err != nil {
			failures = errors.Join(failures, fmt.Errorf("%v: %w", pst.Address, pst.err))
		}
		sts.Processes = append(sts.Processes, pst)
	}
	if len(cls) == 1 && failures != nil {
		return markUnreachable(sts.Processes[0].err)
	}
	if err := stc.pr.Print(stc.out, sts, sts.write); err != nil {
		return err
	}
	return markUnreachable(failures)
}

func isUnreachable(err error) bool { return ExitCode(err) == ExitUnreachable }

func readStatus(ctx context.Context, cl *bwadmin.Client) processStatus {
	var pst processStatus
	if pst.Members, pst.err = cl.Members(ctx); pst.err == nil {
		pst.Upstreams, pst.err = cl.Upstreams(ctx)
	}
	if pst.err == nil {
		pst.Drains, pst.err = cl.Drains(ctx)
	}
	if pst.err == nil {
		var rdy *bwadmin.ReadyStatus
		rdy, pst.err = cl.Ready(ctx)
		if rdy != nil {
			pst.Ready, pst.Reason = rdy.Ready, rdy.Reason
		}
	}
	if pst.err != nil {
		return processStatus{Error: pst.err.Error(), err: pst.err}
	}
	return pst
}
