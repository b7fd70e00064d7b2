package bwprint

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Printer writes a command's result in the form that --output names. The zero
// value prints text.
type Printer struct{ form form }

// form is a flag's value.
type form string

// Forms of output.
const (
	textForm form = "text"
	jsonForm form = "json"
)

var errForm = errors.New("want text or json")

// String returns the form's name.
func (frm *form) String() string { return string(*frm) }

// Set takes a flag's text.
func (frm *form) Set(text string) error {
	if form(text) != textForm && form(text) != jsonForm {
		return errForm
	}
	*frm = form(text)
	return nil
}

// Type returns the name of the flag's type.
func (*form) Type() string { return "form" }

// NewJSON returns a Printer for commands that have only JSON to print.
func NewJSON() *Printer { return &Printer{form: jsonForm} }

// AddFlags adds --output to a command.
func (pr *Printer) AddFlags(cmd *cobra.Command) {
	pr.form = textForm
	cmd.Flags().VarP(&pr.form, "output", "o", "form of the output: text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{string(textForm), string(jsonForm)}, cobra.ShellCompDirectiveNoFileComp))
}

// IsText reports whether text is printed.
func (pr *Printer) IsText() bool { return pr.form != jsonForm }

// Print writes val as JSON, or calls text, whose tabs become columns.
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

// Linef writes one line to the writer that Print passes to text.
func Linef(out io.Writer, format string, args ...any) {
	// A failed write shows when the table is flushed.
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
