package bwcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwcommand"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwwire"
)

const liveState = "Live"

// startAPI serves an administration API and returns its address. Apply returns
// applyErr; the second router is Suspect when applyErr is nil, and Live otherwise.
func startAPI(t *testing.T, applyErr error) string {
	t.Helper()
	srv := httptest.NewServer(bwadmin.NewHandler(bwadmin.Config{
		Apply: func(_ context.Context, req *bwadmin.TicketRequest) (*bwadmin.TicketResult, error) {
			if applyErr != nil {
				return nil, applyErr
			}
			return &bwadmin.TicketResult{Number: req.Ticket.Number, Result: bwadmin.ResultAccepted, Head: req.Ticket.Number}, nil
		},
		Tickets: func(context.Context, *bwadmin.TicketListRequest) (*bwadmin.TicketList, error) {
			return &bwadmin.TicketList{Head: 7, Tickets: []bwadmin.TicketSummary{{Number: 7, Comment: "vianočný nápor"}}}, nil
		},
		Ticket: func(_ context.Context, req *bwadmin.TicketNumberRequest) (*bwwire.TicketDocument, error) {
			if req.Number != 7 {
				return nil, bwadmin.ErrNotFound
			}
			return &bwwire.TicketDocument{Number: 7}, nil
		},
		State: func(context.Context, *struct{}) (*bwwire.StateDocument, error) {
			return &bwwire.StateDocument{Number: 7, Teams: []bwwire.TeamEntry{{SetBy: 3}}}, nil
		},
		Members: func(context.Context, *struct{}) (*bwadmin.MemberList, error) {
			second := "Suspect"
			if applyErr != nil {
				second = liveState
			}
			list := []bwadmin.MemberStatus{{ID: "r1", Role: "Router", Zone: "brezno", State: "Live", StateNumber: 7}, {ID: "r2", Role: "Router", Zone: "brezno", State: second, StateNumber: 6}}
			return &bwadmin.MemberList{Self: "r1", Head: 7, Members: list}, nil
		},
		Upstreams: func(context.Context, *struct{}) (*bwadmin.UpstreamList, error) {
			return &bwadmin.UpstreamList{Upstreams: []bwadmin.UpstreamStatus{{Name: "pisar-1", Service: "pisar-model", Health: "Slow", Reason: "4 times the median", Slots: 16}}}, nil
		},
		Ready:  func() error { return nil },
		Drains: func(context.Context, *struct{}) (*bwadmin.DrainList, error) { return &bwadmin.DrainList{}, nil },
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := bwcommand.Run(t.Context(), bwcommand.Config{Version: "v0", Output: &out, ErrorOutput: &errs}, args)
	if code != bwcommand.ExitOK && errs.Len() == 0 {
		t.Errorf("%v: exit code %d without a message", args, code)
	}
	return code, out.String()
}

func writeFile(t *testing.T, txt string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(name, []byte(txt), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against an error that is mapped to the wrong exit code, on which scripts rely.
func TestExitCodes(t *testing.T) {
	valid, invalid := writeFile(t, `{"Number": 7}`), writeFile(t, `{"Number": 7, "Extra": 1, "Teams": 2}`)
	addr := startAPI(t, nil)
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, bwcommand.ExitOK},
		{"unknown command", []string{"bogus"}, bwcommand.ExitUsage},
		{"unknown subcommand", []string{"ticket", "bogus"}, bwcommand.ExitUsage},
		{"unknown flag", []string{"version", "--bogus"}, bwcommand.ExitUsage},
		{"too many arguments", []string{"ticket", "show", "1", "2"}, bwcommand.ExitUsage},
		{"output format", []string{"version", "-o", "yaml"}, bwcommand.ExitUsage},
		{"address", []string{"status", "--address", "localhost:1"}, bwcommand.ExitUsage},
		{"valid ticket", []string{"ticket", "validate", valid}, bwcommand.ExitOK},
		{"faulty ticket", []string{"ticket", "validate", invalid}, bwcommand.ExitFaults},
		{"faulty ticket applied", []string{"ticket", "apply", invalid, "--address", addr}, bwcommand.ExitFaults},
		{"missing file", []string{"check", valid + "x"}, bwcommand.ExitFailure},
		{"apply", []string{"ticket", "apply", valid, "--address", addr}, bwcommand.ExitOK},
		{"conflict", []string{"ticket", "apply", valid, "--address", startAPI(t, &bwadmin.ConflictError{Head: 9})}, bwcommand.ExitConflict},
		{"first conflict", []string{"ticket", "apply", valid, "--address", startAPI(t, &bwadmin.ConflictError{})}, bwcommand.ExitConflict},
		{"store unavailable", []string{"ticket", "apply", valid, "--address", startAPI(t, bwadmin.ErrUnavailable)}, bwcommand.ExitUnreachable},
		{"outcome unknown", []string{"ticket", "apply", valid, "--address", startAPI(t, bwadmin.ErrOutcomeUnknown)}, bwcommand.ExitOutcomeUnknown},
		{"no process", []string{"status", "--address", "127.0.0.1:1"}, bwcommand.ExitUnreachable},
		{"missing ticket", []string{"ticket", "show", "8", "--address", addr}, bwcommand.ExitNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, _ := runCommand(t, tt.args...); got != tt.want {
				t.Errorf("exit code %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against text output without an expected value, and JSON output that is invalid.
func TestOutputIsCompleteAndJSON(t *testing.T) {
	addr, file := startAPI(t, nil), writeFile(t, `{"Number": 7, "Extra": 1, "Teams": 2}`)
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"status", []string{"status", "--address", addr}, []string{"Ticket 7", "1 Live, 1 Suspect", "pisar-model", "4 times the median", "r2"}},
		{"list", []string{"ticket", "list", "--address", addr}, []string{"vianočný nápor"}},
		{"state", []string{"ticket", "show", "--address", addr}, []string{"Team", "3"}},
		{"ticket", []string{"ticket", "show", "7", "--address", addr}, []string{`"Number": 7`}},
		{"check", []string{"check", file}, []string{"Extra: unknown", "Teams: is a number"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, out := runCommand(t, tt.args...)
			for _, want := range tt.want {
				if !strings.Contains(out, want) {
					t.Errorf("output does not contain %q:\n%s", want, out)
				}
			}
			if _, out = runCommand(t, append(tt.args, "--output", "json")...); !json.Valid([]byte(out)) {
				t.Errorf("not JSON: %s", out)
			}
		})
	}
}

// Guards against a status that omits a process that doesn't respond, or that shows
// the view of only one process when the views differ.
func TestStatusOfSeveralProcesses(t *testing.T) {
	one, two := startAPI(t, nil), startAPI(t, bwadmin.ErrOutcomeUnknown)
	code, out := runCommand(t, "status", "--address", one+","+two+",127.0.0.1:1")
	if code != bwcommand.ExitUnreachable {
		t.Errorf("exit code %d, want %d", code, bwcommand.ExitUnreachable)
	}
	for _, want := range []string{"Ticket 7 in force", "127.0.0.1:1", "No answer", "1 Live, 1 Suspect", "Live at 1, Suspect at 1", "1 Slow"} {
		if !strings.Contains(out, want) {
			t.Errorf("output does not contain %q:\n%s", want, out)
		}
	}
}

// Guards against shell completion without suggestions.
func TestCompletion(t *testing.T) {
	if code, out := runCommand(t, "completion", "bash"); code != bwcommand.ExitOK || !strings.Contains(out, "bilberrywick") {
		t.Errorf("completion bash: exit code %d, script of %d bytes", code, len(out))
	}
	if _, out := runCommand(t, "__complete", "ticket", "apply", ""); !strings.HasPrefix(out, "json\n") {
		t.Errorf("ticket apply completes %q, want JSON files", out)
	}
	if _, out := runCommand(t, "__complete", "status", "--output", ""); !strings.HasPrefix(out, "text\njson\n") {
		t.Errorf("--output completes %q, want text and json", out)
	}
}

// Guards against commands without help, an example or --output.
func TestHelp(t *testing.T) {
	for _, cmd := range allCommands(bwcommand.New(bwcommand.Config{})) {
		if cmd.Short == "" || cmd.Example == "" {
			t.Errorf("%s has no help or no example", cmd.CommandPath())
		}
		if !cmd.HasSubCommands() && cmd.Flags().Lookup("output") == nil {
			t.Errorf("%s has no --output", cmd.CommandPath())
		}
	}
}

func allCommands(cmd *cobra.Command) []*cobra.Command {
	list := []*cobra.Command{cmd}
	for _, sub := range cmd.Commands() {
		list = append(list, allCommands(sub)...)
	}
	return list
}
