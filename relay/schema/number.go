package schema

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxNumberText = 40
	maxExponent   = 30
)

// checkNumbers refuses numbers that are costly to compute with. The schema
// library makes exact fractions of them: a text full of 1e999999 would hold a
// processor for hours, and one would notice a listener that stops answering.
func checkNumbers(tree any, tokens []string) []Problem {
	switch node := tree.(type) {
	case json.Number:
		if isCostly(node.String()) {
			return []Problem{NewProblem(Pointer(tokens...), "the number is out of bounds: "+shorten(node.String()),
				fmt.Sprintf("write it with at most %d characters and an exponent of at most %d", maxNumberText, maxExponent))}
		}
	case map[string]any:
		var found []Problem
		for key, child := range node {
			found = append(found, checkNumbers(child, append(tokens[:len(tokens):len(tokens)], key))...)
		}
		return Sort(found)
	case []any:
		var found []Problem
		for i, child := range node {
			found = append(found, checkNumbers(child, append(tokens[:len(tokens):len(tokens)], strconv.Itoa(i)))...)
		}
		return found
	}
	return nil
}

func isCostly(text string) bool {
	if len(text) > maxNumberText {
		return true
	}
	_, exponent, ok := strings.Cut(strings.ToLower(text), "e")
	if !ok {
		return false
	}
	value, err := strconv.Atoi(exponent)
	return err != nil || value < -maxExponent || value > maxExponent
}
