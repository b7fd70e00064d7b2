package bwprint_test

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwprint"
)

// Guards against output in another format than --output sets, an unknown format that
// is accepted, and columns that are not aligned.
func TestPrinter(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want string
		fail bool
	}{
		{name: "text", want: "NAME  COUNT\na     1\n"},
		{name: "json", args: []string{"--output", "json"}, want: "{\n  \"Name\": \"a <b>\"\n}\n"},
		{name: "other", args: []string{"-o", "yaml"}, fail: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pr := &bwprint.Printer{}
			cmd := &cobra.Command{Use: "test", SilenceUsage: true, SilenceErrors: true, RunE: func(cmd *cobra.Command, _ []string) error {
				return pr.Print(cmd.OutOrStdout(), struct{ Name string }{"a <b>"}, func(out io.Writer) {
					bwprint.Linef(out, "NAME\tCOUNT")
					bwprint.Linef(out, "%s\t%d", "a", 1)
				})
			}}
			pr.AddFlags(cmd)
			var out strings.Builder
			cmd.SetOut(&out)
			cmd.SetArgs(tt.args)
			if err := cmd.Execute(); (err != nil) != tt.fail || out.String() != tt.want {
				t.Errorf("error %v and output %q, want %q", err, out.String(), tt.want)
			}
		})
	}
}

// Guards against a JSON-only Printer that prints text.
func TestNewJSON(t *testing.T) {
	var out strings.Builder
	if err := bwprint.NewJSON().Print(&out, []int{1}, nil); err != nil || !json.Valid([]byte(out.String())) {
		t.Errorf("error %v and output %q", err, out.String())
	}
}
