package spec

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const root = "../../.."

// rule identifies a rule by its specification file and its name.
type rule struct{ spec, name string }

func (r rule) String() string { return r.name + " of spec/" + r.spec + ".pml" }

var (
	ruleLine         = regexp.MustCompile(`^ \*   ([A-Z]+) +\S`)
	continuationLine = regexp.MustCompile(`^ \*     +(\S.*)$`)
	functionName     = regexp.MustCompile(`^\(([a-z]+(?:\.\w+)+)\)$`)
	ruleInDoc        = regexp.MustCompile(`Rule (\w+) of spec/(\w+)\.pml\.`)
)

// TestRulesAndFunctionsNameEachOther fails when a rule names no function, when
// a function names a rule that does not exist, and when a rule and a function
// name different counterparts.
func TestRulesAndFunctionsNameEachOther(t *testing.T) {
	inSpec, inCode := rulesInSpec(t), rulesInCode(t)
	if len(inSpec) == 0 {
		t.Fatal("got no rules in spec/*.pml, want some")
	}
	for at, function := range inSpec {
		switch {
		case function == "":
			t.Errorf("rule %v: got no function, want its name in brackets on the rule's last line", at)
		case !slices.Contains(inCode[at], function):
			t.Errorf("rule %v names %s: got %q that name the rule, want that function among them", at, function, inCode[at])
		}
	}
	for at, functions := range inCode {
		if len(functions) != 1 || inSpec[at] != functions[0] {
			t.Errorf("%q name rule %v: got %q there, want one function and the same", functions, at, inSpec[at])
		}
	}
}

// TestEachRuleCanBeLeftOut checks that every rule has a NO_ variant.
// script/model runs each specification once without each rule that has such a
// variant; it never tests the omission of a rule that has none.
func TestEachRuleCanBeLeftOut(t *testing.T) {
	for at := range rulesInSpec(t) {
		text, err := os.ReadFile(filepath.Join(root, "spec", at.spec+".pml"))
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), "ifndef NO_"+at.name+"\n") {
			t.Errorf("rule %v: got no \"#ifndef NO_%s\", want a variant without the rule", at, at.name)
		}
	}
}

// rulesInSpec maps each rule in spec/*.pml to the function named in its header
// entry, or to "" if the entry names none.
func rulesInSpec(t *testing.T) map[rule]string {
	t.Helper()
	found := map[rule]string{}
	files, err := filepath.Glob(filepath.Join(root, "spec", "*.pml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		header, _, _ := strings.Cut(string(text), "*/")
		maps.Copy(found, rulesInHeader(strings.TrimSuffix(filepath.Base(file), ".pml"), header))
	}
	return found
}

// rulesInHeader parses the rules in the header comment of one specification.
func rulesInHeader(spec, header string) map[rule]string {
	found := map[rule]string{}
	var at rule
	for line := range strings.Lines(header) {
		line = strings.TrimRight(line, "\n")
		if begun := ruleLine.FindStringSubmatch(line); begun != nil {
			at = rule{spec, begun[1]}
			found[at] = ""
			continue
		}
		more := continuationLine.FindStringSubmatch(line)
		if more == nil {
			at = rule{}
			continue
		}
		if named := functionName.FindStringSubmatch(more[1]); named != nil && at.name != "" {
			found[at] = named[1]
		}
	}
	return found
}

// rulesInCode maps each rule to the functions whose doc comments name it.
func rulesInCode(t *testing.T) map[rule][]string {
	t.Helper()
	found := map[rule][]string{}
	for _, module := range []string{"relay", "entry", "agent", "ctl"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			collectRules(found, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// collectRules adds the rules named in the doc comments of one file to found.
func collectRules(found map[rule][]string, file *ast.File) {
	for _, decl := range file.Decls {
		function, ok := decl.(*ast.FuncDecl)
		if !ok {
			continue
		}
		for _, named := range ruleInDoc.FindAllStringSubmatch(function.Doc.Text(), -1) {
			at := rule{spec: named[2], name: named[1]}
			found[at] = append(found[at], qualifiedName(file, function))
		}
	}
}

// qualifiedName returns the function's name as package.Function or
// package.Type.Method.
func qualifiedName(file *ast.File, function *ast.FuncDecl) string {
	name := file.Name.Name + "."
	if function.Recv != nil {
		receiver := function.Recv.List[0].Type
		if pointer, ok := receiver.(*ast.StarExpr); ok {
			receiver = pointer.X
		}
		if ident, ok := receiver.(*ast.Ident); ok {
			name += ident.Name + "."
		}
	}
	return name + function.Name.Name
}

// TestHeaderIsRead checks that rulesInHeader finds a function name on any
// continuation line of a rule, accepts a rule without one, and
// ignores a function name outside a rule's entry.
func TestHeaderIsRead(t *testing.T) {
	got := rulesInHeader("x", " * Prose.\n *\n *   ONE  a rule of\n *        two lines\n *        (pkg.Type.Func)\n *   TWO  one without a function\n *\n * (pkg.Func)\n")
	want := map[rule]string{{"x", "ONE"}: "pkg.Type.Func", {"x", "TWO"}: ""}
	if !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
