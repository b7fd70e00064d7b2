package bwcommand

import "github.com/spf13/cobra"

// completeFlag has the shell complete a flag with files of the extensions, or
// with all files.
func completeFlag(cmd *cobra.Command, flag string, extensions ...string) {
	if err := cmd.MarkFlagFilename(flag, extensions...); err != nil {
		panic("flag " + flag + " of " + cmd.Name() + ": " + err.Error())
	}
}

// completeJSONFile has the shell complete the first argument with JSON files.
func completeJSONFile(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"json"}, cobra.ShellCompDirectiveFilterFileExt
}
