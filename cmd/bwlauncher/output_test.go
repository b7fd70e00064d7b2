package bwlauncher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwcommand"
	"bilberrywick/cmd/bwlauncher"
)

// Guards against a command that prints results and has no --output. The router and
// agent commands write only logs.
func TestCommandsHaveOutputFlag(t *testing.T) {
	for _, cmd := range withSubcommands(bwlauncher.Commands(bwlauncher.Config{})) {
		if cmd.HasSubCommands() || cmd.Name() == "router" || cmd.Name() == "agent" {
			continue
		}
		if cmd.Flags().Lookup("output") == nil {
			t.Errorf("%s has no --output", cmd.CommandPath())
		}
	}
}

func withSubcommands(cmds []*cobra.Command) []*cobra.Command {
	var all []*cobra.Command
	for _, cmd := range cmds {
		all = append(append(all, cmd), withSubcommands(cmd.Commands())...)
	}
	return all
}

// Guards against results that are invalid JSON with --output json.
func TestOutputIsJSON(t *testing.T) {
	tests := map[string][]string{
		"dev":    {"dev", "--routers", "1", "--engines", "1", "--apps", "1"},
		"demo":   {"dev", "--demo"},
		"engine": {"standin", "engine", "--address", "127.0.0.1:0"},
		"app":    {"standin", "app", "--address", "127.0.0.1:0"},
		"stores": {"standin", "platform", "--table", "127.0.0.1:0", "--objects", "127.0.0.1:0", "--list", "127.0.0.1:0"},
		"slopes": {"capacity", "table", "--slopes", "../../docs/capacity-slopes.json"},
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if name == "demo" {
				ctx = t.Context()
			}
			var out, messages bytes.Buffer
			cfg := bwcommand.Config{Output: &out, ErrorOutput: &messages, Commands: bwlauncher.Commands(bwlauncher.Config{LogOutput: &messages})}
			bwcommand.Run(ctx, cfg, append(args, "--output", "json"))
			if !json.Valid(out.Bytes()) {
				t.Errorf("not JSON: %s\n%s", out.String(), messages.String())
			}
		})
	}
}
