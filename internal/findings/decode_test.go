package findings

import (
	"strings"
	"testing"
)

type sample struct {
	Name  string   `json:"name"`
	Count int      `json:"count"`
	Inner inner    `json:"inner"`
	List  []inner  `json:"list"`
	Words []string `json:"words"`
}

type inner struct {
	Port int `json:"port"`
}

// Guards against reporting only the first error, or an error without its line and path.
func TestDecodeReportsEveryFinding(t *testing.T) {
	input := `{
  "name": 3,
  "count": "x",
  "inner": {"port": true, "extra": 1},
  "list": [{"port": 1}, {"prot": 2}],
  "words": "none"
}`
	var got sample
	list := Decode("in.json", []byte(input), &got)
	want := []string{
		`in.json:3: count: expected int, found "x"`,
		`in.json:4: inner.extra: unknown field "extra"`,
		`in.json:4: inner.port: expected int, found true`,
		`in.json:5: list[1].prot: unknown field "prot"`,
		`in.json:2: name: expected string, found 3`,
		`in.json:6: words: expected a list, found "none"`,
	}
	if len(list.Items()) != len(want) {
		t.Fatalf("got %d findings, want %d: %v", len(list.Items()), len(want), list.Items())
	}
	for i, f := range list.Items() {
		if f.String() != want[i] {
			t.Errorf("finding %d is %q, want %q", i, f, want[i])
		}
	}
	if got.List[0].Port != 1 {
		t.Errorf("valid values must be decoded, got %+v", got)
	}
}

// Guards against a syntax error that is reported without its line.
func TestDecodeNamesTheLineOfASyntaxError(t *testing.T) {
	var got sample
	list := Decode("in.json", []byte("{\n\"name\": \"a\",\n}"), &got)
	if err := list.Err(); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got %v, want an error that names line 3", err)
	}
}
