package schema

import (
	"strconv"
	"strings"
)

var (
	escaper   = strings.NewReplacer("~", "~0", "/", "~1")
	unescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

// Pointer escapes the tokens and joins them to a JSON pointer.
func Pointer(tokens ...string) string {
	var out strings.Builder
	for _, token := range tokens {
		out.WriteByte('/')
		out.WriteString(escaper.Replace(token))
	}
	return out.String()
}

// Tokens splits a JSON pointer and unescapes its tokens.
func Tokens(pointer string) []string {
	if pointer == "" {
		return nil
	}
	tokens := strings.Split(strings.TrimPrefix(pointer, "/"), "/")
	for i, token := range tokens {
		tokens[i] = unescaper.Replace(token)
	}
	return tokens
}

// PathTokens splits a path, which is a JSON pointer or keys joined by dots.
func PathTokens(path string) []string {
	if path == "" || strings.HasPrefix(path, "/") {
		return Tokens(path)
	}
	return strings.Split(path, ".")
}

// At returns the value at the path and whether it exists.
func At(tree any, tokens []string) (any, bool) {
	for _, token := range tokens {
		next, ok := child(tree, token)
		if !ok {
			return nil, false
		}
		tree = next
	}
	return tree, true
}

func child(tree any, token string) (any, bool) {
	switch node := tree.(type) {
	case map[string]any:
		child, ok := node[token]
		return child, ok
	case []any:
		i, err := strconv.Atoi(token)
		if err != nil || i < 0 || i >= len(node) {
			return nil, false
		}
		return node[i], true
	}
	return nil, false
}
