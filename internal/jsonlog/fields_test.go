package jsonlog

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// kebabCase matches words of lower-case letters and digits that are joined by hyphens.
var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Guards against log fields that are not in kebab-case, which a search over the logs of all
// processes would miss, and against fields that are not documented for operators.
func TestFieldsAreInKebabCaseAndExplained(t *testing.T) {
	page, err := os.ReadFile("../../docs/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	fields := 0
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			name, ok := fieldName(n)
			if !ok {
				return true
			}
			fields++
			if !kebabCase.MatchString(name) {
				t.Errorf("%s: log field %q is not in kebab-case", set.Position(n.Pos()), name)
			}
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s: docs/logs.md does not explain log field %q", set.Position(n.Pos()), name)
			}
			return true
		})
		return nil
	}
	for _, dir := range []string{"../../internal", "../../cmd"} {
		if err := filepath.WalkDir(dir, walk); err != nil {
			t.Fatal(err)
		}
	}
	if fields == 0 {
		t.Error("no log fields found")
	}
}

// fieldName returns the field name in a call such as zap.String("name", value). It returns
// false for any other node.
func fieldName(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) != 2 {
		return "", false
	}
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	pkg, ok := function.X.(*ast.Ident)
	if !ok || pkg.Name != "zap" {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	name, err := strconv.Unquote(literal.Value)
	return name, err == nil
}
