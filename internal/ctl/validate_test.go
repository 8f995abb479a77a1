package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

// runCommand runs bergamotctl and returns its output, standard error included, and its error.
func runCommand(nw network.Network, args ...string) (string, error) {
	root := newRoot("test", &options{network: nw})
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

func writeTempFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const brokenSettings = `{
  "name": "anand-1",
  "data_centre": "anand",
  "region": "guj-west",
  "region": "guj-east",
  "listen": {"caller": "localhost:8100", "peer": "127.0.0.1:99999"},
  "platform": {"log": "http://127.0.0.1:7000", "vm_list": "http://127.0.0.1:7000", "weight_store": "ftp://127.0.0.1"},
  "limits": {"body_byte": 5},
  "timing": {"lease": "10", "progress": 5},
  "peers": ["127.0.0.1:1", "127.0.0.1:1"]
}`

const brokenDocument = `{
  "pools": [{"name": "a", "models": ["m"]}, {"name": "a"}],
  "profiles": [{
    "name": "p", "rank": "urgnet", "pool": "a", "model": "m",
    "first_token_ms": "900ms", "token_ms": 60, "total_ms": 9000, "worth": 1,
    "max_output_tokens": 1, "max_prompt_tokens": 1, "retry_share": 3, "colour": "red"
  }],
  "services": [{"name": "s", "path_prefix": "care", "pool": "b"}]
}`

// Guards against a validation that stops at the first error, reports no location, or
// mistakes a settings file for a configuration document or vice versa.
func TestValidateReportsEveryMistakeWithItsPlace(t *testing.T) {
	cases := []struct {
		name, content string
		want          []string
	}{
		{"settings.json", brokenSettings, []string{
			`:5: region: duplicate field "region", first set in line 4`,
			`:6: listen.caller: expected a numeric IP address, found "localhost"`,
			`:6: listen.peer: expected a port from 1 to 65535, found "99999"`,
			`:7: platform.weight_store: expected an http or https URL, found "ftp://127.0.0.1"`,
			`:8: limits.body_byte: unknown field "body_byte"`,
			`:9: timing.lease: expected a duration with a unit such as "250ms", found "10"`,
			`:9: timing.progress: expected a duration with a unit such as "250ms", found 5`,
			`:10: peers[1]: duplicate of peers[0]`,
		}},
		{"configuration.json", brokenDocument, []string{
			`:2: pools[1].name: duplicate name "a", first used at pools[0]`,
			`:4: profiles[0].rank: expected urgent, standard or background, found "urgnet"`,
			`:5: profiles[0].first_token_ms: expected a whole number of milliseconds, found "900ms"`,
			`:6: profiles[0].colour: unknown field "colour"`,
			`:6: profiles[0].retry_share: must be between 0 and 1, found 3`,
			`:8: services[0].path_prefix: must start with / and not with /v1/, found "care"`,
			`:8: services[0].pool: unknown pool "b"`,
		}},
	}
	for _, c := range cases {
		path := writeTempFile(t, c.name, c.content)
		_, err := runCommand(network.TCP{}, "validate", path)
		if ExitCode(err) != ExitInvalid {
			t.Errorf("%s: exit code %d, want %d: %v", c.name, ExitCode(err), ExitInvalid, err)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(Message(err), path+want) {
				t.Errorf("%s: no finding %q in:\n%s", c.name, want, Message(err))
			}
		}
	}
}

// Guards against guessing the kind of a file that could be either.
func TestValidateRequiresKindForAmbiguousFile(t *testing.T) {
	path := writeTempFile(t, "file.json", `{"colour": 1}`)
	if _, err := runCommand(network.TCP{}, "validate", path); err == nil || !strings.Contains(Message(err), "--kind") {
		t.Errorf("got %v, want an error that names --kind", err)
	}
	_, err := runCommand(network.TCP{}, "validate", "--kind", "configuration", path)
	if err == nil || !strings.Contains(Message(err), `unknown field "colour"`) {
		t.Errorf("got %v, want the findings of a configuration document", err)
	}
}
