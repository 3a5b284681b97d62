package cmd

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// TestManPageListsEveryOption guards against adding a subcommand or an option
// without documenting it in the man page.
func TestManPageListsEveryOption(t *testing.T) {
	text, err := os.ReadFile("../../../man/comfreyctl.md")
	if err != nil {
		t.Fatal(err)
	}
	connecting := optionsOf(&connection{})
	for _, command := range commands(&terminal{}) {
		_, section, found := strings.Cut(string(text), "\n### "+command.Name+"\n")
		if !found {
			t.Errorf("got no section of %s in the man page, want one", command.Name)
			continue
		}
		section, _, _ = strings.Cut(section, "\n### ")
		if command.Options == nil {
			continue
		}
		for _, option := range optionsOf(command.Options) {
			shared := slices.Contains(connecting, option) && strings.Contains(section, "[connection options]")
			if shared && strings.Contains(string(text), "| `--"+option) || strings.Contains(section, "--"+option) {
				continue
			}
			t.Errorf("got no --%s of %s in the man page, want it", option, command.Name)
		}
	}
}

func optionsOf(options any) []string {
	var names []string
	for _, group := range flags.NewParser(options, flags.None).Groups() {
		for _, option := range group.Options() {
			names = append(names, option.LongName)
		}
	}
	return names
}
