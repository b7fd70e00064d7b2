package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
	bwplatform "bilberrywick/platform"
)

// checkResult holds the decoded files as a process would use them.
type checkResult struct {
	Settings *bwgateway.Settings `json:",omitzero"`
	State    *checkedState       `json:",omitzero"`
}

// checkedState is a state without the teams' keys, which must not be printed.
type checkedState struct {
	Version  uint64
	Routes   []bwforward.Route
	Services []bwforward.Service
	Teams    []checkedTeam
	Limits   bwforward.Limits
}

type checkedTeam struct {
	Name     bwmodel.TeamID
	Keys     int
	Priority *int `json:",omitzero"`
}

func newCheckCommand() *cobra.Command {
	var settings, state string
	pr := &bwprint.Printer{}
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file or a state, and print the decoded values",
		Example: "  bilberrywick-gateway check --settings gateway.json\n  bilberrywick-gateway check --state state.json --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			res, err := check(settings, state)
			if err != nil {
				return err
			}
			return pr.Print(cmd.OutOrStdout(), res, res.write)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "", "settings file to check")
	cmd.Flags().StringVar(&state, "state", "", "state of routes, services and teams to check, as operators write it")
	pr.AddFlags(cmd)
	return cmd
}

var errNoFile = errors.New("name a file with --settings or --state")

// check decodes the named files. Its errors contain the file name and the cause.
func check(settings, state string) (*checkResult, error) {
	if settings == "" && state == "" {
		return nil, errNoFile
	}
	res := &checkResult{}
	if settings != "" {
		sts, err := bwgateway.LoadSettings(settings)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", settings, err)
		}
		res.Settings = sts
	}
	if state == "" {
		return res, nil
	}
	data, err := os.ReadFile(state)
	if err != nil {
		return nil, err
	}
	cfg, err := bwplatform.DecodeManifest(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", state, err)
	}
	res.State = &checkedState{Version: cfg.Version, Routes: cfg.Routes, Services: cfg.Services, Limits: cfg.Limits}
	for _, team := range cfg.Teams {
		res.State.Teams = append(res.State.Teams, checkedTeam{Name: team.Name, Keys: len(team.Keys), Priority: team.Priority})
	}
	return res, nil
}

func (res *checkResult) write(out io.Writer) {
	if res.Settings != nil {
		writeSettings(out, res.Settings)
	}
	if res.State != nil {
		res.State.write(out)
	}
}

func writeSettings(out io.Writer, sts *bwgateway.Settings) {
	bwprint.Linef(out, "SETTING\tVALUE")
	for _, row := range []struct {
		name string
		val  any
	}{
		{"Member", sts.Member},
		{"Zone", sts.Zone},
		{"Region", sts.Region},
		{"Callers", sts.Callers},
		{"Status", sts.Status},
		{"Peers", sts.Peers},
		{"Store", sts.Store},
		{"GraceTime", sts.GraceTime},
		{"LeaveTime", sts.LeaveTime},
		{"ChangeTime", sts.ChangeTime},
		{"RetryShare", sts.RetryShare},
		{"RetrySlack", sts.RetrySlack},
		{"RetryWindow", sts.RetryWindow},
		{"ExposureShare", sts.ExposureShare},
		{"ExposureSlack", sts.ExposureSlack},
		{"RollbackTime", sts.RollbackTime},
		{"MemoryLimit", sts.MemoryLimit},
	} {
		bwprint.Linef(out, "%s\t%v", row.name, row.val)
	}
}

func (cst *checkedState) write(out io.Writer) {
	bwprint.Linef(out, "State %d, bodies up to %s", cst.Version, formatBytes(cst.Limits.Body))
	bwprint.Linef(out, "ROUTE\tHOST\tPREFIX\tKIND\tTIMEOUT\tTARGET\tGAP\tUPSTREAMS\tPRIORITY\tKEY\tSERVICES")
	for _, rt := range cst.Routes {
		key := "needed"
		if rt.Public {
			key = "none"
		}
		bwprint.Linef(out, "%s\t%s\t%s\t%v\t%v\t%v\t%v\t%d\t%d\t%s\t%s", rt.Name, rt.Host, rt.Prefix, rt.Kind,
			formatTimeout(rt.Timeout), formatTimeout(rt.Target), formatTimeout(rt.Gap), rt.MaxUpstreams, rt.Priority, key, formatTargets(rt.Targets))
	}
	bwprint.Linef(out, "SERVICE\tHEALTH\tMODEL")
	for _, svc := range cst.Services {
		model := "-"
		if mdl := svc.Model; mdl != nil {
			model = fmt.Sprintf("%d slots, %d tokens, copies %v", mdl.Slots, mdl.Memory, mdl.Copies)
		}
		bwprint.Linef(out, "%s\t%s\t%s", svc.Name, svc.Health, model)
	}
	bwprint.Linef(out, "TEAM\tKEYS\tPRIORITY")
	for _, team := range cst.Teams {
		priority := "of the route"
		if team.Priority != nil {
			priority = fmt.Sprint(*team.Priority)
		}
		bwprint.Linef(out, "%s\t%d\t%s", team.Name, team.Keys, priority)
	}
}

func formatTargets(tgts []bwforward.Target) string {
	text := ""
	for ix, tgt := range tgts {
		if ix > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", tgt.Service, tgt.Weight)
	}
	return text
}

// formatTimeout formats a duration; 0 means that the process uses its default.
func formatTimeout(dur time.Duration) string {
	if dur == 0 {
		return "default"
	}
	return dur.String()
}

func formatBytes(count int64) string {
	if count == 0 {
		return "the default"
	}
	return fmt.Sprintf("%d bytes", count)
}
