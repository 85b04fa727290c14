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

// instances returns instances with the given names, live or, if the name ends with a
// minus sign, leaving.
func instances(names string) []*spec.Instance {
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

func TestWithKeepsInstancesIfMostAreMissing(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps string // lists as "second: names", separated by semicolons
		want  string
	}{
		{"first list", "1: a b c d", "a b c d"},
		{"one missing", "1: a b c d; 2: a b c", "a b c"},
		{"half missing", "1: a b c d; 2: a b", "a b"},
		{"most missing", "1: a b c d; 2: a", "a b c d"},
		{"all missing", "1: a b c d; 2:", "a b c d"},
		{"all missing until the grace period ends", "1: a b c d; 2:; 31:", "a b c d"},
		{"all missing when the grace period has ended", "1: a b c d; 2:; 32:", ""},
		{"most missing and listed again", "1: a b c d; 2: a; 3: a b c d", "a b c d"},
		{"new instance while the others are missing", "1: a b c d; 2: e", "a b c d e"},
		{"leaving instances are not kept", "1: a- b- c- d; 2: d", "d"},
		{"change of state is applied", "1: a b c; 2: a- b- c-", "a b c"},
	} {
		l := fleet.New()
		for s := range strings.SplitSeq(c.steps, ";") {
			at, names, _ := strings.Cut(s, ":")
			var n int
			_, _ = fmt.Sscan(at, &n)
			l = l.With(time.Duration(n)*time.Second, instances(names))
		}
		var got []string
		for _, i := range l.Instances() {
			got = append(got, i.Name)
		}
		if g := strings.Join(got, " "); g != c.want {
			t.Errorf("%s: got %q, want %q", c.name, g, c.want)
		}
	}
}
