package profile

import (
	"strings"
	"testing"
)

// Guards against speeds with which the role planner would divide by zero, and against
// a record about which daemons with schema version 2 would decide differently.
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

// Guards against publishing a document with newer fields under a schema version whose
// programs refuse it, and a document without them under one that older programs do not
// support.
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
