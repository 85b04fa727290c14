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

// add reports a problem. A place that is wrong already is not reported again.
func (p *problems) add(path, format string, args ...any) {
	for _, q := range *p {
		if path != "" && (path == q.Path || strings.HasPrefix(q.Path, path+"[") || strings.HasPrefix(q.Path, path+".")) {
			return
		}
	}
	*p = append(*p, Problem{Path: path, Expected: fmt.Sprintf(format, args...)})
}

// decode reads YAML text into m by m's schema. All unknown keys and all values
// of a wrong type are reported, which protojson alone would not do: it stops at
// the first. They are left out of m, so that the rest can be checked as well.
// Text that is not YAML at all is not readable.
func decode(text []byte, m proto.Message) (ps problems, readable bool) {
	b, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		ps.add("", "not YAML: %s", oneLine(err))
		return ps, false
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		ps.add("", "not YAML: %s", oneLine(err))
		return ps, false
	}
	b, err = json.Marshal(ps.walk("", v, m.ProtoReflect().Descriptor()))
	if err == nil {
		err = protojson.Unmarshal(b, m)
	}
	if err != nil {
		ps.add("", "does not follow the schema: %s", oneLine(err))
	}
	return ps, err == nil
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// walk compares a decoded value with a message's schema and returns the part of
// it that follows the schema.
func (p *problems) walk(path string, v any, d protoreflect.MessageDescriptor) map[string]any {
	m, ok := v.(map[string]any)
	if !ok {
		p.add(path, "expected keys and values, got %s", describe(v))
		return nil
	}
	kept := make(map[string]any)
	for _, k := range sorted(m) {
		f := d.Fields().ByJSONName(k)
		if f == nil || f.JSONName() != k {
			p.add(join(path, k), "unknown key; expected one of %s", strings.Join(keys(d), ", "))
			continue
		}
		kept[k] = p.field(join(path, k), m[k], f)
	}
	return kept
}

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

// value checks a single value and returns it, or the zero value of its kind.
func (p *problems) value(path string, v any, f protoreflect.FieldDescriptor) any {
	before := len(*p)
	var zero any
	switch f.Kind() {
	case protoreflect.MessageKind:
		return p.walk(path, v, f.Message())
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
		p.whole(path, v, math.MaxUint32)
	case protoreflect.Uint64Kind:
		zero = 0
		if t, ok := v.(string); ok {
			v = json.Number(t) // the form that JSON gives to 64-bit numbers
		}
		p.whole(path, v, math.MaxInt64)
	default:
		p.add(path, "has a kind that settings do not use: %s", f.Kind())
	}
	if len(*p) > before {
		return zero
	}
	return v
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
