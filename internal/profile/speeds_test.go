package profile

import (
	"strings"
	"testing"
)

// Guards against speeds that make the role planner divide by zero, and against a
// record that daemons with schema version 2 would decide about differently.
func TestSpeedsAreChecked(t *testing.T) {
	const document = `{"pools":[{"name":"p","models":["m"],"roles":["mixed","decode"],"speeds":[%]}],
		"profiles":[{"name":"q","rank":"urgent","pool":"p","model":"m","first_token_ms":1,"token_ms":1,
		"total_ms":1,"worth":1,"max_output_tokens":1,"max_prompt_tokens":1}]}`
	cases := []struct {
		schema       int
		speeds, want string
	}{
		{3, `{"role":"mixed","prompt_tokens":10,"output_tokens":5}`, ""},
		{2, `{"role":"mixed","prompt_tokens":10,"output_tokens":5}`, "requires schema version 3"},
		{3, `{"role":"prefill","prompt_tokens":10,"output_tokens":5}`, "is not a role of pool"},
		{3, `{"role":"mixed","prompt_tokens":0,"output_tokens":5}`, "speeds[0].prompt_tokens"},
		{3, `{"role":"mixed","prompt_tokens":10,"output_tokens":-5}`, "speeds[0].output_tokens"},
		{3, `{"role":"mixed","prompt_tokens":1,"output_tokens":1},{"role":"mixed","prompt_tokens":1,"output_tokens":1}`, "duplicate role"},
	}
	for _, c := range cases {
		_, list := ParseVersion(c.schema, "f", []byte(strings.Replace(document, "%", c.speeds, 1)))
		got := ""
		if err := list.Err(); err != nil {
			got = err.Error()
		}
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("schema %d, speeds %s: found %q, want %q", c.schema, c.speeds, got, c.want)
		}
	}
}

// Guards against a document with newer fields that is published with a version whose
// programs refuse it, and against one without them that older programs cannot read.
func TestDocumentIsPublishedWithTheLowestSchema(t *testing.T) {
	for document, want := range map[string]int{
		`{"pools":[{"name":"p","models":["m"]}]}`:                                        2,
		`{"pools":[{"name":"p","models":["m"],"speeds":[{"role":"mixed"}]}],"ranks":[]}`: 3,
	} {
		if got := SchemaOf([]byte(document)); got != want {
			t.Errorf("%s is published with schema %d, want %d", document, got, want)
		}
	}
}
