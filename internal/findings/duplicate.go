package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// reportDuplicates adds a finding for each field that an object holds twice.
// encoding/json keeps the last one, so that the first would have no effect.
func reportDuplicates(list *List, data []byte) {
	d := duplicates{list: list, data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	d.value("")
}

// duplicates walks valid JSON; reading its tokens cannot fail.
type duplicates struct {
	list *List
	data []byte
	dec  *json.Decoder
}

func (d *duplicates) value(path string) {
	tok, err := d.dec.Token()
	if err != nil {
		return
	}
	switch tok {
	case json.Delim('{'):
		d.object(path)
	case json.Delim('['):
		d.array(path)
	}
}

func (d *duplicates) object(path string) {
	lines := map[string]int{}
	for d.dec.More() {
		key, err := d.dec.Token()
		if err != nil {
			return
		}
		name := fmt.Sprint(key)
		line := LineAt(d.data, d.dec.InputOffset())
		child := Join(path, name)
		if first, ok := lines[name]; ok {
			d.list.addAt(line, child, "duplicate field %q, first set in line %d", name, first)
		}
		lines[name] = line
		d.value(child)
	}
	// The closing brace.
	_, _ = d.dec.Token()
}

func (d *duplicates) array(path string) {
	for i := 0; d.dec.More(); i++ {
		d.value(fmt.Sprintf("%s[%d]", path, i))
	}
	// The closing bracket.
	_, _ = d.dec.Token()
}
