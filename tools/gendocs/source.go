package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// field is a struct field with its documentation.
type field struct {
	goName string
	// name is the field's name in JSON, or "" if it has no JSON tag.
	name string
	// typeName is the name of the field's type, or of the element type of a list.
	typeName string
	list     bool
	doc      string
}

// structure is a struct with its documentation.
type structure struct {
	doc    string
	fields []field
}

// source holds the declarations of one package that the pages document.
type source struct {
	structs map[string]structure
	// metrics maps the Go names of metrics to their published names.
	metrics map[string]string
}

// readSource parses the files of a package, except its tests.
func readSource(dir string) (*source, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sort.Strings(paths)
	s := &source{structs: map[string]structure{}, metrics: map[string]string{}}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		s.addFile(file)
	}
	return s, nil
}

func (s *source) addFile(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GenDecl:
			s.addTypes(n)
		case *ast.CallExpr:
			s.addMetric(n)
		}
		return true
	})
}

func (s *source) addTypes(decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		t, ok := spec.(*ast.TypeSpec)
		if !ok {
			continue
		}
		body, ok := t.Type.(*ast.StructType)
		if !ok {
			continue
		}
		doc := decl.Doc
		if t.Doc != nil {
			doc = t.Doc
		}
		s.structs[t.Name.Name] = structure{doc: commentText(doc), fields: fieldsOf(body)}
	}
}

// fieldsOf returns the exported fields of a struct. A field without a comment gets the
// comment of the field above it if that comment names the field.
func fieldsOf(body *ast.StructType) []field {
	var out []field
	previous := ""
	for _, f := range body.Fields.List {
		for _, name := range f.Names {
			if !name.IsExported() {
				continue
			}
			doc := commentText(f.Doc)
			if doc == "" && strings.Contains(previous, name.Name) {
				doc = previous
			}
			previous = doc
			next := field{goName: name.Name, name: jsonName(f.Tag), doc: doc}
			next.typeName, next.list = typeOf(f.Type)
			out = append(out, next)
		}
	}
	return out
}

// commentText returns the text of a comment as one line.
func commentText(doc *ast.CommentGroup) string {
	if doc == nil {
		return ""
	}
	return strings.Join(strings.Fields(doc.Text()), " ")
}

func jsonName(tag *ast.BasicLit) string {
	if tag == nil {
		return ""
	}
	value, err := strconv.Unquote(tag.Value)
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(reflect.StructTag(value).Get("json"), ",")
	return name
}

// typeOf returns the name of a type without its package. For a list, it returns the name of
// the element type.
func typeOf(expr ast.Expr) (name string, list bool) {
	switch t := expr.(type) {
	case *ast.ArrayType:
		name, _ = typeOf(t.Elt)
		return name, true
	case *ast.SelectorExpr:
		return t.Sel.Name, false
	case *ast.Ident:
		return t.Name, false
	case *ast.StarExpr:
		return typeOf(t.X)
	}
	return "value", false
}

// addMetric records the metric of a call of the form vars.Set("name", &m.Field).
func (s *source) addMetric(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Set" || len(call.Args) != 2 {
		return
	}
	name, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return
	}
	address, ok := call.Args[1].(*ast.UnaryExpr)
	if !ok || address.Op != token.AND {
		return
	}
	variable, ok := address.X.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if value, err := strconv.Unquote(name.Value); err == nil {
		s.metrics[variable.Sel.Name] = value
	}
}
