package schema

import "strconv"

// Prune removes the values at the problems' paths from the tree, so that the rest
// can still be checked. It replaces list items by empty values instead, which
// preserves the indexes of the items after them.
func (c *Checker) Prune(tree any, problems []Problem) {
	for _, problem := range problems {
		tokens := Tokens(problem.path)
		if len(tokens) > 0 {
			c.prune(tree, tokens)
		}
	}
}

func (c *Checker) prune(tree any, tokens []string) {
	last := tokens[len(tokens)-1]
	parent, _ := At(tree, tokens[:len(tokens)-1])
	switch node := parent.(type) {
	case map[string]any:
		delete(node, last)
	case []any:
		if i, err := strconv.Atoi(last); err == nil && i >= 0 && i < len(node) {
			node[i] = c.emptyAt(tokens)
		}
	}
}

func (c *Checker) emptyAt(tokens []string) any {
	if c.IsString(tokens) {
		return ""
	}
	return map[string]any{}
}
