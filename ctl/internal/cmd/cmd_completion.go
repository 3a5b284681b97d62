package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/relay/cli"
)

// completionScript calls comfreyctl for the completions: go-flags prints them if
// GO_FLAGS_COMPLETION is set.
const completionScript = `_comfreyctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _comfreyctl comfreyctl
`

func completionCommand(term *terminal) *cli.Command {
	return &cli.Command{
		Name:  "completion",
		Short: "Print a script that completes the command line in bash",
		Long:  "Example: source <(comfreyctl completion)",
		Run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			_, err := fmt.Fprint(term.out, completionScript)
			return err
		},
	}
}
