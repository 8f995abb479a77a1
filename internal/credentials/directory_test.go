package credentials

import (
	"fmt"
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
)

func organisation(name string, keys ...string) port.Organisation {
	o := port.Organisation{Name: name}
	for _, key := range keys {
		o.Keys = append(o.Keys, port.DigestKey(key))
	}
	return o
}

// Guards against requests that are attributed to an organisation whose key the client does not have, and against
// mistakes in a configuration that are not reported.
func TestKeysIdentifyTheirOrganisation(t *testing.T) {
	cases := []struct {
		name          string
		organisations []port.Organisation
		// want is the name of the holder of the key "k", or empty.
		want     string
		findings int
	}{
		{"known", []port.Organisation{organisation("a", "j", "k"), organisation("b", "l")}, "a", 0},
		{"unknown", []port.Organisation{organisation("a", "j")}, "", 0},
		{"no organisations", []port.Organisation{}, "", 0},
		{"repeated in one organisation", []port.Organisation{organisation("a", "k", "k")}, "a", 0},
		{"in two organisations", []port.Organisation{organisation("a", "k"), organisation("b", "k"), organisation("c", "k")}, "", 1},
		{"two organisations of one name", []port.Organisation{organisation("a", "j"), organisation("a", "k")}, "a", 1},
		{"no name", []port.Organisation{organisation("", "k")}, "", 1},
	}
	for _, c := range cases {
		d, findings := NewDirectory(c.organisations)
		got, ok := d.Lookup(port.DigestKey("k"))
		if got.Name != c.want || ok != (c.want != "") || len(findings) != c.findings {
			t.Errorf("%s: organisation %q, known %t, findings %q", c.name, got.Name, ok, findings)
		}
	}
	if d, _ := NewDirectory([]port.Organisation{organisation("a", "")}); d.holders[port.DigestKey("")] != 0 || len(d.holders) != 0 {
		t.Error("an empty key identifies an organisation")
	}
}

// target is the number of organisations that the product has to serve.
const target = 9800

func BenchmarkLookup(b *testing.B) {
	var list []port.Organisation
	for i := range target {
		list = append(list, organisation(fmt.Sprint("organisation-", i), fmt.Sprint("yx5x42q492cqf75rjvz4", i)))
	}
	d, _ := NewDirectory(list)
	key := fmt.Sprint("yx5x42q492cqf75rjvz4", target/2)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.Lookup(port.DigestKey(key)); !ok {
			b.Fatal("key is unknown")
		}
	}
}
