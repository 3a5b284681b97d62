package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/settings"
)

// TestManPagesListEverySetting fails if a man page does not list a key with its
// current default and description. The message contains the missing row.
func TestManPagesListEverySetting(t *testing.T) {
	for page, describe := range map[string]func(string) (schema.Field, bool){
		"comfreyentry.md": settings.DescribeEntry,
		"comfreyagent.md": settings.DescribeAgent,
	} {
		text, err := os.ReadFile("../../man/" + page)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range settingRows(describe, "") {
			if !strings.Contains(string(text), row+"\n") {
				t.Errorf("got no such row in man/%s, want\n%s", page, row)
			}
		}
	}
}

// settingRows returns a table row for each setting below the path that is not an object.
func settingRows(describe func(string) (schema.Field, bool), path string) []string {
	field, _ := describe(path)
	if len(field.Keys()) == 0 {
		return []string{fmt.Sprintf("| `%s` | %s | %s | %s |", path, field.Kind(), code(field.Default()), field.Description())}
	}
	var found []string
	for _, key := range field.Keys() {
		if key != "$schema" {
			found = append(found, settingRows(describe, strings.TrimPrefix(path+"."+key, "."))...)
		}
	}
	return found
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
