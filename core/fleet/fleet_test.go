package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/core/fleet"
	"kingcupstand/schema/spec"
)

// list returns instances from names; a name with a minus sign is leaving.
func list(names string) []*spec.Instance {
	var l []*spec.Instance
	for n := range strings.FieldsSeq(names) {
		i := &spec.Instance{Name: strings.TrimSuffix(n, "-"), State: conf.StateLive}
		if strings.HasSuffix(n, "-") {
			i.State = conf.StateLeaving
		}
		l = append(l, i)
	}
	return l
}

func TestWith(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps string // lists as "second: names", divided by semicolons
		want  string
	}{
		{"first list", "1: a b c d", "a b c d"},
		{"one lost", "1: a b c d; 2: a b c", "a b c"},
		{"half lost", "1: a b c d; 2: a b", "a b"},
		{"most lost", "1: a b c d; 2: a", "a b c d"},
		{"all lost", "1: a b c d; 2:", "a b c d"},
		{"all lost for long", "1: a b c d; 2:; 31:", "a b c d"},
		{"all lost for too long", "1: a b c d; 2:; 32:", ""},
		{"most lost and back", "1: a b c d; 2: a; 3: a b c d", "a b c d"},
		{"new ones beside lost ones", "1: a b c d; 2: e", "a b c d e"},
		{"leaving ones are let go", "1: a- b- c- d; 2: d", "d"},
		{"leaving is believed", "1: a b c; 2: a- b- c-", "a b c"},
	} {
		l := fleet.New()
		for s := range strings.SplitSeq(c.steps, ";") {
			at, names, _ := strings.Cut(s, ":")
			var n int
			_, _ = fmt.Sscan(at, &n)
			l = l.With(time.Duration(n)*time.Second, list(names))
		}
		var got []string
		for _, i := range l.Instances() {
			got = append(got, i.Name)
		}
		if g := strings.Join(got, " "); g != c.want {
			t.Errorf("%s: got %q, expected %q", c.name, g, c.want)
		}
	}
}
