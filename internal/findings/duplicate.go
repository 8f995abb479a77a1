package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// reportDuplicates adds a finding for each field that an object holds twice.
// encoding/json keeps the last one, so that the first would have no effect.
func reportDuplicates(list *List, data []byte) {
	d := duplicateChecker{list: list, data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	d.checkValue("")
}

// duplicateChecker walks valid JSON; reading its tokens cannot fail.
type duplicateChecker struct {
	list *List
	data []byte
	dec  *json.Decoder
}

func (d *duplicateChecker) checkValue(path string) {
	tok, err := d.dec.Token()
	if err != nil {
		return
	}
	switch tok {
	case json.Delim('{'):
		d.checkObject(path)
	case json.Delim('['):
		d.checkArray(path)
	}
}

func (d *duplicateChecker) checkObject(path string) {
	lines := map[string]int{}
	for d.dec.More() {
		key, err := d.dec.Token()
		if err != nil {
			return
		}
		name := fmt.Sprint(key)
		line := LineAt(d.data, d.dec.InputOffset())
		child := Join(path, name)
		if firstLine, ok := lines[name]; ok {
			d.list.addAt(line, child, "duplicate field %q, first set in line %d", name, firstLine)
		}
		lines[name] = line
		d.checkValue(child)
	}
	// The closing brace.
	_, _ = d.dec.Token()
}

func (d *duplicateChecker) checkArray(path string) {
	for i := 0; d.dec.More(); i++ {
		d.checkValue(fmt.Sprintf("%s[%d]", path, i))
	}
	// The closing bracket.
	_, _ = d.dec.Token()
}
