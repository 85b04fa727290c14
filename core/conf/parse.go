package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"sigs.k8s.io/yaml"
)

// Problem is an error in a file.
type Problem struct {
	// Path is the path of the key, such as "contracts[0].share", or empty if the
	// problem concerns the file as a whole.
	Path string
	// Expected is the message: what is wrong and what would be valid.
	Expected string
}

// String returns "path: expected", or only the message if the path is empty.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Expected
	}
	return p.Path + ": " + p.Expected
}

// problems collects the problems of a file, so that the check command shows all at
// once.
type problems []Problem

// maxProblems is the largest number of problems that are collected, which bounds the time that add
// takes.
const maxProblems = 100

// add adds a problem, unless one was added for the same path or a path below it: the
// second one is usually a consequence of the first.
func (p *problems) add(path, format string, args ...any) {
	if len(*p) >= maxProblems {
		return
	}
	for _, q := range *p {
		if path != "" && (path == q.Path || strings.HasPrefix(q.Path, path+"[") || strings.HasPrefix(q.Path, path+".")) {
			return
		}
	}
	*p = append(*p, Problem{Path: shorten(path), Expected: shorten(fmt.Sprintf(format, args...))})
}

// decode decodes YAML text into m. It reports all unknown keys and all values of a
// wrong type; protojson alone would stop at the first. Unknown keys are left out of
// m and values of a wrong type become zero, so that the rest can be checked as well.
// If readable is false, the text isn't YAML or couldn't be decoded, and m is empty or
// incomplete.
func decode(text []byte, m proto.Message) (ps problems, readable bool) {
	v, err := read(text)
	if err != nil {
		ps.add("", "not YAML: %s", oneLine(err))
		return ps, false
	}
	return ps, ps.unmarshal("", v, m)
}

// read reads YAML text as the types of encoding/json, with numbers as text.
func read(text []byte) (v any, err error) {
	b, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	return v, d.Decode(&v)
}

// unmarshal decodes a value that was read at a path into m, and reports whether that was possible.
func (p *problems) unmarshal(path string, v any, m proto.Message) bool {
	b, err := json.Marshal(p.message(path, v, m.ProtoReflect().Descriptor()))
	if err == nil {
		err = protojson.Unmarshal(b, m)
	}
	if err != nil {
		p.add(path, "does not follow the schema: %s", oneLine(err))
	}
	return err == nil
}

// oneLine returns an error's message with line breaks replaced by spaces.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// maxMessage is the length in bytes of the longest path or message, both of which quote the file.
const maxMessage = 1000

// shorten returns the beginning of a text that is too long for a message.
func shorten(s string) string {
	if len(s) <= maxMessage {
		return s
	}
	return strings.ToValidUTF8(s[:maxMessage], "") + "..."
}

// message checks a decoded value against a message's schema. It returns the value
// without unknown keys and with zero values in place of values of a wrong type.
func (p *problems) message(path string, v any, d protoreflect.MessageDescriptor) map[string]any {
	m, ok := v.(map[string]any)
	if !ok {
		p.add(path, "expected keys and values, got %s", describe(v))
		return nil
	}
	kept := make(map[string]any)
	for _, k := range sortedKeys(m) {
		f := d.Fields().ByJSONName(k)
		if f == nil || f.JSONName() != k {
			p.add(joinPath(path, k), "unknown key; expected one of %s", strings.Join(fieldNames(d), ", "))
			continue
		}
		kept[k] = p.field(joinPath(path, k), m[k], f)
	}
	return kept
}

// field checks the value of a field, which may be a list.
func (p *problems) field(path string, v any, f protoreflect.FieldDescriptor) any {
	if !f.IsList() {
		return p.value(path, v, f)
	}
	l, ok := v.([]any)
	if !ok {
		p.add(path, "expected a list, got %s", describe(v))
		return nil
	}
	kept := make([]any, len(l))
	for i, e := range l {
		kept[i] = p.value(path+"["+strconv.Itoa(i)+"]", e, f)
	}
	return kept
}

// value checks a single value. It returns the value, or the zero value of the
// field's type if it is invalid.
func (p *problems) value(path string, v any, f protoreflect.FieldDescriptor) any {
	before := len(*p)
	var zero any
	switch f.Kind() {
	case protoreflect.MessageKind:
		return p.message(path, v, f.Message())
	case protoreflect.StringKind:
		zero = ""
		if _, ok := v.(string); !ok {
			p.add(path, "expected text, got %s", describe(v))
		}
	case protoreflect.BoolKind:
		zero = false
		if _, ok := v.(bool); !ok {
			p.add(path, "expected true or false, got %s", describe(v))
		}
	case protoreflect.DoubleKind:
		zero = 0
		if _, ok := v.(json.Number); !ok {
			p.add(path, "expected a number, got %s", describe(v))
		}
	case protoreflect.Uint32Kind:
		zero = 0
		p.unsigned(path, v, math.MaxUint32)
	case protoreflect.Uint64Kind:
		zero = 0
		if t, ok := v.(string); ok {
			v = json.Number(t) // protojson writes 64-bit numbers as strings
		}
		p.unsigned(path, v, math.MaxInt64)
	default:
		p.add(path, "has a kind that settings do not use: %s", f.Kind())
	}
	if len(*p) > before {
		return zero
	}
	return v
}

// unsigned checks that a value is an integer from 0 to most.
func (p *problems) unsigned(path string, v any, most uint64) {
	n, ok := v.(json.Number)
	if ok {
		if u, err := strconv.ParseUint(n.String(), 10, 64); err == nil && u <= most {
			return
		}
	}
	p.add(path, "expected a whole number from 0 to %d, got %s", most, describe(v))
}

// describe returns a value as messages show it.
func describe(v any) string {
	switch v := v.(type) {
	case nil:
		return "nothing"
	case map[string]any:
		return "keys and values"
	case []any:
		return "a list"
	case string:
		return strconv.Quote(v)
	default:
		return fmt.Sprint(v)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldNames returns the names of a message's fields in the schema's order.
func fieldNames(d protoreflect.MessageDescriptor) []string {
	var s []string
	for i := range d.Fields().Len() {
		s = append(s, d.Fields().Get(i).JSONName())
	}
	return s
}

// sortedKeys returns a map's keys in order, so that problems have a fixed order.
func sortedKeys(m map[string]any) []string {
	var s []string
	for k := range m {
		s = append(s, k)
	}
	slices.Sort(s)
	return s
}
