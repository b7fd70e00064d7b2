package bwprint

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Printer writes a command's result in the format set by --output. The zero
// value prints text.
type Printer struct{ format outputFormat }

// outputFormat is the pflag.Value of --output.
type outputFormat string

// Output formats.
const (
	textFormat outputFormat = "text"
	jsonFormat outputFormat = "json"
)

var errUnknownFormat = errors.New("want text or json")

// String returns the name of the format.
func (ofm *outputFormat) String() string { return string(*ofm) }

// Set parses the name of a format.
func (ofm *outputFormat) Set(text string) error {
	if outputFormat(text) != textFormat && outputFormat(text) != jsonFormat {
		return errUnknownFormat
	}
	*ofm = outputFormat(text)
	return nil
}

// Type names the flag's type in help texts.
func (*outputFormat) Type() string { return "form" }

// NewJSON returns a Printer that always prints JSON.
func NewJSON() *Printer { return &Printer{format: jsonFormat} }

// AddFlags adds --output to a command, with text as the default.
func (pr *Printer) AddFlags(cmd *cobra.Command) {
	pr.format = textFormat
	cmd.Flags().VarP(&pr.format, "output", "o", "output format: text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{string(textFormat), string(jsonFormat)}, cobra.ShellCompDirectiveNoFileComp))
}

// IsText reports whether the printer prints text.
func (pr *Printer) IsText() bool { return pr.format != jsonFormat }

// Print writes val as JSON, or calls text with a writer that aligns cells separated by tabs.
func (pr *Printer) Print(out io.Writer, val any, text func(io.Writer)) error {
	if !pr.IsText() {
		enc := json.NewEncoder(out)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return enc.Encode(val)
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(tab)
	return tab.Flush()
}

// Linef writes one formatted line to the writer that Print passes to text.
func Linef(out io.Writer, format string, args ...any) {
	// Print returns a write error when it flushes the table.
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
