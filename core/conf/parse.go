package conf

import (
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

// Problem is one thing wrong with a file: where, and what was expected there.
type Problem struct {
	// Path is the key's place in the file, or empty for the file itself.
	Path string
	// Expected says what is wrong and what would be right.
	Expected string
}

// String returns "path: expected".
func (p Problem) String() string {
	if p.Path == "" {
		return p.Expected
	}
	return p.Path + ": " + p.Expected
}

// problems collects what is wrong, so that one run of check shows all of it.
type problems []Problem

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Expected: fmt.Sprintf(format, args...)})
}

// decode reads YAML text into m by m's schema. All unknown keys and all values
// of a wrong type are reported, which protojson alone would not do: it stops at
// the first.
func decode(text []byte, m proto.Message) problems {
	var ps problems
	b, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		ps.add("", "not YAML: %s", oneLine(err))
		return ps
	}
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		ps.add("", "not YAML: %s", oneLine(err))
		return ps
	}
	ps.walk("", v, m.ProtoReflect().Descriptor())
	if len(ps) > 0 {
		return ps
	}
	if err := protojson.Unmarshal(b, m); err != nil {
		ps.add("", "does not follow the schema: %s", oneLine(err))
	}
	return ps
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// walk compares a decoded value with a message's schema.
func (p *problems) walk(path string, v any, d protoreflect.MessageDescriptor) {
	m, ok := v.(map[string]any)
	if !ok {
		p.add(path, "expected keys and values, got %s", describe(v))
		return
	}
	for _, k := range sorted(m) {
		f := d.Fields().ByJSONName(k)
		if f == nil || f.JSONName() != k {
			p.add(join(path, k), "unknown key; expected one of %s", strings.Join(keys(d), ", "))
			continue
		}
		p.field(join(path, k), m[k], f)
	}
}

func (p *problems) field(path string, v any, f protoreflect.FieldDescriptor) {
	if !f.IsList() {
		p.value(path, v, f)
		return
	}
	l, ok := v.([]any)
	if !ok {
		p.add(path, "expected a list, got %s", describe(v))
		return
	}
	for i, e := range l {
		p.value(path+"["+strconv.Itoa(i)+"]", e, f)
	}
}

func (p *problems) value(path string, v any, f protoreflect.FieldDescriptor) {
	switch f.Kind() {
	case protoreflect.MessageKind:
		p.walk(path, v, f.Message())
	case protoreflect.StringKind:
		if _, ok := v.(string); !ok {
			p.add(path, "expected text, got %s", describe(v))
		}
	case protoreflect.BoolKind:
		if _, ok := v.(bool); !ok {
			p.add(path, "expected true or false, got %s", describe(v))
		}
	case protoreflect.DoubleKind:
		if _, ok := v.(json.Number); !ok {
			p.add(path, "expected a number, got %s", describe(v))
		}
	case protoreflect.Uint32Kind:
		p.whole(path, v, math.MaxUint32)
	case protoreflect.Uint64Kind:
		if t, ok := v.(string); ok {
			v = json.Number(t) // the form that JSON gives to 64-bit numbers
		}
		p.whole(path, v, math.MaxInt64)
	default:
		p.add(path, "has a kind that settings do not use: %s", f.Kind())
	}
}

// whole checks for a whole number from 0 to most.
func (p *problems) whole(path string, v any, most uint64) {
	n, ok := v.(json.Number)
	if ok {
		if u, err := strconv.ParseUint(n.String(), 10, 64); err == nil && u <= most {
			return
		}
	}
	p.add(path, "expected a whole number from 0 to %d, got %s", most, describe(v))
}

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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func keys(d protoreflect.MessageDescriptor) []string {
	var s []string
	for i := range d.Fields().Len() {
		s = append(s, d.Fields().Get(i).JSONName())
	}
	return s
}

func sorted(m map[string]any) []string {
	var s []string
	for k := range m {
		s = append(s, k)
	}
	slices.Sort(s)
	return s
}
