package conf

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"kingcupstand/schema/spec"
)

// ParseFront parses and checks the settings of a front. It ignores unknown keys,
// because the platform writes the file and may add keys. The settings are nil if
// there are problems.
func ParseFront(text []byte) (*spec.Front, []Problem) {
	return parseLenient(text, &spec.Front{}, (*problems).front)
}

// ParseKeeper does the same with the settings of a keeper.
func ParseKeeper(text []byte) (*spec.Keeper, []Problem) {
	return parseLenient(text, &spec.Keeper{}, (*problems).keeper)
}

// parseLenient parses settings into s and checks them. It ignores unknown keys.
func parseLenient[S proto.Message](text []byte, s S, check func(*problems, S)) (none S, list []Problem) {
	var ps problems
	j, err := yaml.YAMLToJSON(text)
	if err != nil {
		ps.add("", "not YAML: %s", oneLine(err))
		return none, ps
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(j, s); err != nil {
		ps.add("", "%s", oneLine(err))
		return none, ps
	}
	check(&ps, s)
	if len(ps) > 0 {
		return none, ps
	}
	return s, nil
}

func (p *problems) front(s *spec.Front) {
	if s.Name == "" {
		p.add("name", "expected the process's name")
	}
	for _, a := range []struct {
		path, value string
		optional    bool
	}{
		{"callers", s.Callers, false},
		{"readiness", s.Readiness, false},
		{"peer", s.Peer, false},
		{"store", s.Store, false},
		{"metrics", s.Metrics, true},
		{"control", s.Control, true},
	} {
		if a.value != "" || !a.optional {
			p.ipPort(a.path, a.value)
		}
	}
	for _, a := range s.Seeds {
		p.ipPort("seeds", a)
	}
	for _, t := range []struct {
		path string
		ms   uint32
	}{{"grace-ms", s.GraceMs}, {"retry-window-ms", s.RetryWindowMs}} {
		if t.ms == 0 {
			p.add(t.path, "expected a time above 0, in milliseconds")
		}
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		p.add("retry-ratio", "expected a ratio and a slack of at least 0")
	}
	if s.WarmOvershoot < 0 || s.WarmSlack < 0 {
		p.add("warm-overshoot", "expected a factor and a slack of at least 0")
	}
	p.logLevel(s.GetLogs())
}

func (p *problems) keeper(s *spec.Keeper) {
	if s.Name == "" {
		p.add("name", "expected the process's name")
	}
	p.ipPort("peer", s.Peer)
	if s.Metrics != "" {
		p.ipPort("metrics", s.Metrics)
	}
	p.logLevel(s.GetLogs())
}

func (p *problems) logLevel(l *spec.Logs) {
	switch l.GetLevel() {
	case "", "debug", "info", "error":
	default:
		p.add("logs.level", "expected debug, info or error")
	}
}

func (p *problems) ipPort(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.add(path, "%q: expected IP:port", value)
	}
}
