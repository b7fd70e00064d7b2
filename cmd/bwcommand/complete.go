package bwcommand

import "github.com/spf13/cobra"

// completeFlag makes shell completion of a flag offer files with the extensions,
// or all files when none is given.
func completeFlag(cmd *cobra.Command, flag string, extensions ...string) {
	if err := cmd.MarkFlagFilename(flag, extensions...); err != nil {
		panic("flag " + flag + " of " + cmd.Name() + ": " + err.Error())
	}
}

// completeJSONFile makes shell completion of the first argument offer JSON files.
func completeJSONFile(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"json"}, cobra.ShellCompDirectiveFilterFileExt
}
