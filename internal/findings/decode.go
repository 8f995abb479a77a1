package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Decode decodes JSON data into the struct that dst points to and collects every error:
// syntax errors, unknown and duplicate fields, and values of the wrong type. Fields
// without a finding are set even when others have one, so that the caller can continue
// to validate them and report all findings together.
func Decode(file string, data []byte, dst any) *List {
	list := &List{File: file, Lines: LineIndex(data)}
	if !json.Valid(data) {
		var discard any
		err := json.Unmarshal(data, &discard)
		list.Add("", "%s", SyntaxError(data, err))
		return list
	}
	reportDuplicates(list, data)
	decodeValue(list, "", data, reflect.ValueOf(dst).Elem())
	return list
}

// FieldNames returns the JSON names of the fields of a struct, sorted.
func FieldNames(v any) []string {
	names := []string{}
	for name := range fieldsByName(reflect.TypeOf(v)) {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// jsonNull is accepted for lists, where it means the empty list, and for pointers.
var jsonNull = []byte("null")

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func decodeValue(list *List, path string, data json.RawMessage, dst reflect.Value) {
	hasUnmarshaler := dst.Addr().Type().Implements(unmarshalerType)
	switch {
	case !hasUnmarshaler && dst.Kind() == reflect.Struct:
		decodeStruct(list, path, data, dst)
	case !hasUnmarshaler && dst.Kind() == reflect.Pointer && dst.Type().Elem().Kind() == reflect.Struct && !bytes.Equal(data, jsonNull):
		dst.Set(reflect.New(dst.Type().Elem()))
		decodeValue(list, path, data, dst.Elem())
	case bytes.Equal(data, jsonNull) && dst.Kind() != reflect.Slice && dst.Kind() != reflect.Pointer:
		list.Add(path, "expected a value, found null")
	case !hasUnmarshaler && dst.Kind() == reflect.Slice && dst.Type().Elem().Kind() != reflect.Uint8:
		decodeSlice(list, path, data, dst)
	default:
		if err := json.Unmarshal(data, dst.Addr().Interface()); err != nil {
			list.Add(path, "%s", decodeMessage(path, err, data))
		}
	}
}

func decodeStruct(list *List, path string, data json.RawMessage, dst reflect.Value) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil || object == nil {
		list.Add(path, "expected an object, found %s", abbreviate(data))
		return
	}
	fields := fieldsByName(dst.Type())
	for _, name := range sortedKeys(object) {
		index, ok := fields[name]
		if !ok {
			list.Add(Join(path, name), "unknown field %q", name)
			continue
		}
		decodeValue(list, Join(path, name), object[name], dst.Field(index))
	}
}

func decodeSlice(list *List, path string, data json.RawMessage, dst reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		list.Add(path, "expected a list, found %s", abbreviate(data))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(list, fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	dst.Set(out)
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedKeys(object map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(object))
	for k := range object {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// unitBySuffix maps suffixes of field names to the unit of the values.
var unitBySuffix = map[string]string{
	"_ms":    "milliseconds",
	"_s":     "seconds",
	"_bytes": "bytes",
}

// decodeMessage describes why data cannot be decoded into the field at path.
func decodeMessage(path string, err error, data json.RawMessage) string {
	for suffix, unit := range unitBySuffix {
		if strings.HasSuffix(path, suffix) {
			return fmt.Sprintf("expected a whole number of %s, found %s", unit, abbreviate(data))
		}
	}
	if e, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("expected %s, found %s", e.Type, abbreviate(data))
	}
	return err.Error()
}

// abbreviate returns a JSON value without white space and cut to at most 40 bytes, for use
// in a message.
func abbreviate(data json.RawMessage) string {
	const maxBytes = 40
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return "invalid JSON"
	}
	s := compact.String()
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	return s
}
