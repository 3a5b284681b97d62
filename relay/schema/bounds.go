package schema

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxNumberChars = 40
	maxExponent    = 30
	maxDepth       = 32
	maxValues      = 100_000
)

// boundsWalker walks a JSON tree and collects the values that are too expensive to
// validate.
type boundsWalker struct {
	tokens []string // path of the current value; shared by all levels to avoid copies
	values int
	found  []Problem
}

// checkBounds reports numbers that are expensive to compute with, and nesting
// depths and value counts that no valid text has. The schema library converts
// numbers to exact fractions: a text full of 1e999999 would occupy a processor for
// hours, and the listener would stop answering. The library also keeps all errors
// in memory; limiting the number of values limits the number of errors.
func checkBounds(tree any) []Problem {
	walk := &boundsWalker{}
	walk.visit(tree)
	if walk.values > maxValues {
		walk.tokens = nil
		walk.add(fmt.Sprintf("the text holds more than %d values", maxValues), "take out what is not needed")
	}
	return Sort(walk.found)
}

func (b *boundsWalker) visit(tree any) {
	b.values++
	if b.values > maxValues {
		return
	}
	if len(b.tokens) > maxDepth {
		b.add("the value is nested too deep", "take the inner values out")
		return
	}
	switch node := tree.(type) {
	case json.Number:
		if isExpensiveNumber(node.String()) {
			b.add("the number is out of bounds: "+shorten(node.String()),
				fmt.Sprintf("write it with at most %d characters and an exponent of at most %d", maxNumberChars, maxExponent))
		}
	case map[string]any:
		for key, child := range node {
			b.enter(key, child)
		}
	case []any:
		for i, child := range node {
			b.enter(strconv.Itoa(i), child)
		}
	}
}

func (b *boundsWalker) enter(token string, child any) {
	b.tokens = append(b.tokens, token)
	b.visit(child)
	b.tokens = b.tokens[:len(b.tokens)-1]
}

func (b *boundsWalker) add(message, remedy string) {
	b.found = append(b.found, NewProblem(Pointer(b.tokens...), message, remedy))
}

func isExpensiveNumber(text string) bool {
	if len(text) > maxNumberChars {
		return true
	}
	_, exponent, ok := strings.Cut(strings.ToLower(text), "e")
	if !ok {
		return false
	}
	value, err := strconv.Atoi(exponent)
	return err != nil || value < -maxExponent || value > maxExponent
}
