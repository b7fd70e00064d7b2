package bwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Forms of output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

// printer writes a command's result in the form that --output names.
type printer struct{ form string }

func (pr *printer) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&pr.form, "output", "o", textOutput, "form of the output: text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{textOutput, jsonOutput}, cobra.ShellCompDirectiveNoFileComp))
}

// check returns a *UsageError for an unknown form.
func (pr *printer) check() error {
	if pr.form != textOutput && pr.form != jsonOutput {
		return &UsageError{Err: fmt.Errorf("--output %q: want text or json", pr.form)}
	}
	return nil
}

// print writes val as JSON, or calls text.
func (pr *printer) print(out io.Writer, val any, text func(io.Writer)) error {
	if pr.form == jsonOutput {
		enc := json.NewEncoder(out)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return enc.Encode(val)
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(tab)
	return tab.Flush()
}

func writeLine(out io.Writer, format string, args ...any) {
	// A failed write shows when the table is flushed.
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
