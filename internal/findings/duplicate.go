package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// reportDuplicates adds a finding for each repeated field of an object. encoding/json keeps
// only the last value, so the earlier ones would be ignored silently.
func reportDuplicates(list *List, data []byte) {
	d := duplicateChecker{list: list, data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	d.checkValue("")
}

// duplicateChecker walks JSON data that is known to be valid, so reading its tokens cannot
// fail.
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
	// Consume the closing brace.
	_, _ = d.dec.Token()
}

func (d *duplicateChecker) checkArray(path string) {
	for i := 0; d.dec.More(); i++ {
		d.checkValue(fmt.Sprintf("%s[%d]", path, i))
	}
	// Consume the closing bracket.
	_, _ = d.dec.Token()
}
