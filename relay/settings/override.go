package settings

import (
	"fmt"
	"strings"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/schema"
)

// applyOverride sets the value of an override "key.path=value" in the tree. The value is
// JSON unless the schema requires a string.
func applyOverride(tree any, override string, checker *schema.Checker) error {
	path, value, ok := strings.Cut(override, "=")
	if !ok || path == "" {
		return failure.New(failure.Invalid, fmt.Sprintf("the override %q has no value", override),
			"write it as key.path=value, for example node.logLevel=debug")
	}
	tokens := strings.Split(path, ".")
	holder, err := objectAt(tree, tokens[:len(tokens)-1], override)
	if err != nil {
		return err
	}
	holder[tokens[len(tokens)-1]] = overrideValue(value, checker.IsString(tokens))
	return nil
}

func overrideValue(value string, isString bool) any {
	if isString {
		return value
	}
	parsed, problems := schema.ParseTree([]byte(value))
	if len(problems) > 0 {
		return value // an enumeration value, or text that the schema check rejects
	}
	return parsed
}

// objectAt returns the object at the path and creates absent objects on the way.
func objectAt(tree any, tokens []string, override string) (map[string]any, error) {
	holder, ok := tree.(map[string]any)
	for _, token := range tokens {
		if !ok {
			break
		}
		if _, present := holder[token]; !present {
			holder[token] = map[string]any{}
		}
		holder, ok = holder[token].(map[string]any)
	}
	if !ok {
		return nil, failure.New(failure.Invalid, fmt.Sprintf("the override %q has a parent that is not an object", override),
			"correct its key; the settings' schema lists them")
	}
	return holder, nil
}
