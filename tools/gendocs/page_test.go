package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"bergamotsill.example/bergamotsill/internal/refusal"
)

const root = "../.."

// Guards against a reference page that differs from the code, and against a field or
// metric without a description.
func TestPagesAreUpToDate(t *testing.T) {
	for _, p := range pages {
		want, err := p.generate(root)
		if err != nil {
			t.Errorf("%s: %v", p.path, err)
			continue
		}
		for _, line := range strings.Split(want, "\n") {
			if strings.HasSuffix(line, "|  |") {
				t.Errorf("%s: no comment explains %s", p.path, line)
			}
		}
		got, err := os.ReadFile(filepath.Join(root, p.path))
		if err != nil {
			t.Error(err)
			continue
		}
		if string(got) != want {
			t.Errorf("%s differs from the code; run go run ./tools/gendocs", p.path)
		}
	}
}

// Guards against a refusal code that the documentation does not list, or a page that
// states a different HTTP status than callers receive.
func TestEveryRefusalIsExplained(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "refusals.md"))
	if err != nil {
		t.Fatal(err)
	}
	codes := refusalCodes(t)
	if len(codes) == 0 {
		t.Fatal("no codes found in internal/refusal")
	}
	for _, code := range codes {
		status := refusal.New(code, "").Status()
		row := "| `" + string(code) + "` | " + strconv.Itoa(status) + " |"
		if !strings.Contains(string(data), row) {
			t.Errorf("docs/refusals.md has no row that starts with %s", row)
		}
	}
}

// refusalCodes returns the constants of type Code.
func refusalCodes(t *testing.T) []refusal.Code {
	t.Helper()
	path := filepath.Join(root, "internal", "refusal", "refusal.go")
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []refusal.Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		typeName, ok := spec.Type.(*ast.Ident)
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		if !ok || typeName.Name != "Code" || !isLiteral {
			return true
		}
		value, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		codes = append(codes, refusal.Code(value))
		return true
	})
	return codes
}
