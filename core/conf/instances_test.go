package conf_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kingcupstand/core/conf"
)

const soundInstance = `{name: agent-1, role: agent, peer: "192.0.2.1:7600", state: live}`

// Guards against processes that stop following the instance list because of one odd instance: it alone
// is left out.
func TestOddInstanceIsLeftOut(t *testing.T) {
	for name, odd := range map[string]string{
		"nothing":             `null`,
		"a number":            `1e400`,
		"nested":              nestedList(9000),
		"no name":             `{role: agent, peer: "192.0.2.1:7600", state: live}`,
		"name twice":          soundInstance,
		"name of 1 MB":        `{name: ` + strings.Repeat("n", 1<<20) + `, role: agent, peer: x, state: live}`,
		"port too large":      `{name: b, role: agent, peer: "192.0.2.1:99999", state: live}`,
		"models a number":     `{name: b, role: agent, peer: "192.0.2.1:1", state: live, models: 3}`,
		"models of all types": `{name: b, role: agent, peer: "192.0.2.1:1", state: live, models: [[3], null, {a: b}]}`,
		"unknown key":         `{name: b, role: agent, peer: "192.0.2.1:1", state: live, x: 1}`,
		"unknown role":        `{name: b, role: ` + strings.Repeat("r", 1<<20) + `, peer: "192.0.2.1:1", state: live}`,
		"no number":           `{name: b, role: agent, peer: "192.0.2.1:1", state: live, x: .nan}`,
		"no number as name":   `{name: .nan}`,
		"infinite":            `-.inf`,
		"key twice":           `{name: b, name: c, role: agent, peer: "192.0.2.1:1", state: live}`,
		"null as key":         `{name: b, role: agent, peer: "192.0.2.1:1", state: live, null: 1}`,
		"no UTF-8":            "{name: b\xff, role: agent, peer: \"192.0.2.1:1\", state: live}",
		"no UTF-8, quoted":    "{name: \"b\xc3\", role: agent, peer: \"192.0.2.1:1\", state: live}",
		"control character":   "{name: b\x01, role: agent, peer: \"192.0.2.1:1\", state: live}",
		"delete":              "{name: \"b\x7f\", role: agent, peer: \"192.0.2.1:1\", state: live}",
		"no character":        "{name: \"b\ufffe\", role: agent, peer: \"192.0.2.1:1\", state: live}",
		"number too large":    `{name: 1e999, role: 123456789012345678901234567890, peer: -1e999, state: 1e999}`,
	} {
		l, ps, ok := conf.ReadInstances([]byte("instances: [" + soundInstance + ", " + odd + "]"))
		if !ok || len(l) != 1 || l[0].Name != "agent-1" || len(ps) == 0 {
			t.Errorf("%s: got %d instances, problems %.300v, ok %v", name, len(l), ps, ok)
		}
		for _, p := range ps {
			if n := len(p.String()); n > 3000 {
				t.Errorf("%s: a problem of %d bytes", name, n)
			}
		}
	}
}

func nestedList(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// A text that is no list, or whose instances are all odd, must not take the place of the list before.
func TestListWithoutSoundInstanceIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no YAML":           "instances: [",
		"no keys":           "[1, 2]",
		"a number":          "instances: 3",
		"only odd":          "instances: [1, {name: x}]",
		"list twice":        "instances: [" + soundInstance + "]\ninstances: [{name: .nan}]",
		"only odd numbers":  "instances: [.nan, {name: .inf}]",
		"nested too deeply": "instances: " + nestedList(20000),
		"aliases": "a: &a [x,x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b,*b]\n" +
			"d: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c,*c]\ne: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d,*d]\nf: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e,*e]\n" +
			"g: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f,*f]\ninstances: [*g,*g,*g]\n",
	} {
		if l, ps, ok := conf.ReadInstances([]byte(text)); ok || l != nil || len(ps) == 0 {
			t.Errorf("%s: got %d instances, %d problems, ok %v", name, len(l), len(ps), ok)
		}
	}
	if l, ps, ok := conf.ReadInstances([]byte("instances: []")); !ok || len(l)+len(ps) > 0 {
		t.Errorf("empty list: got %d instances, problems %v, ok %v", len(l), ps, ok)
	}
}

// Guards against processes that are busy for minutes with a value of the size that the platform stores
// (1 MiB) in which everything is wrong.
func TestManyProblemsTakeLittleTime(t *testing.T) {
	list := "[" + strings.Repeat("1,", 1<<18) + "1]"
	for name, f := range map[string]func(){
		"instances read":    func() { conf.ReadInstances([]byte("instances: " + list)) },
		"each by itself":    func() { conf.ReadInstances([]byte("instances: [" + strings.Repeat(".nan,", 1<<20/5) + "1]")) },
		"instances checked": func() { conf.ParseInstances([]byte("instances: " + list)) },
		"contracts":         func() { conf.ParseDocument([]byte("revision: 1\ncontracts: " + list)) },
		"unknown keys":      func() { conf.ParseDocument([]byte(manyKeys(1 << 16))) },
	} {
		start := time.Now()
		f()
		if d := time.Since(start); d > 8*time.Second {
			t.Errorf("%s: took %v", name, d)
		}
	}
}

func manyKeys(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "k%d: 1\n", i)
	}
	return b.String()
}
