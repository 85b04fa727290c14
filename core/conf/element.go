package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"go.yaml.in/yaml/v2"
)

var (
	errCharacter = errors.New("control characters or invalid UTF-8")
	errNotJSON   = errors.New("value that JSON lacks")
)

// element is a value of YAML text that is decoded by itself.
type element struct {
	value any
	err   error
}

// UnmarshalYAML implements yaml.Unmarshaler. It keeps the error: the elements that follow are decoded, too.
func (e *element) UnmarshalYAML(decode func(any) error) error {
	var v any
	if e.err = decode(&v); e.err == nil {
		e.value, e.err = jsonValue(v)
	}
	return nil
}

// readElements reads an instance list whose text isn't YAML as a whole, or has values that JSON lacks, and
// returns its elements as the types of encoding/json, with numbers as text.
func readElements(text []byte) ([]element, error) {
	var l struct {
		Instances []element          `yaml:"instances"`
		Others    map[string]element `yaml:",inline"`
	}
	err := yaml.UnmarshalStrict([]byte(strings.Map(readable, string(text))), &l)
	return l.Instances, err
}

// readable returns a character, or utf8.RuneError in place of one that YAML doesn't allow.
func readable(r rune) rune {
	if unicode.IsControl(r) && !strings.ContainsRune("\t\n\r\u0085", r) || r == '\ufeff' || r == '\ufffe' || r == '\uffff' {
		return utf8.RuneError
	}
	return r
}

// jsonValue returns a decoded YAML value as the types of encoding/json, with numbers as text.
func jsonValue(v any) (any, error) {
	switch v := v.(type) {
	case nil, bool:
		return v, nil
	case string:
		if strings.ContainsRune(v, utf8.RuneError) {
			return nil, errCharacter
		}
		return v, nil
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("%w: %v", errNotJSON, v)
		}
		return json.Number(fmt.Sprint(v)), nil
	case int, int64, uint64:
		return json.Number(fmt.Sprint(v)), nil
	case []any:
		l := make([]any, len(v))
		for i, e := range v {
			var err error
			if l[i], err = jsonValue(e); err != nil {
				return nil, err
			}
		}
		return l, nil
	case map[any]any:
		m := make(map[string]any, len(v))
		for k, e := range v {
			s, ok := k.(string)
			if !ok {
				return nil, fmt.Errorf("%w: key %v", errNotJSON, k)
			}
			var err error
			if m[s], err = jsonValue(e); err != nil {
				return nil, err
			}
		}
		return m, nil
	default:
		return nil, fmt.Errorf("%w: %T", errNotJSON, v)
	}
}
