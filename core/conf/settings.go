package conf

import (
	"net/netip"
	"net/url"

	"kingcupstand/schema/spec"
)

// Role is the part that a process plays.
type Role string

// The two roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Kinds of target.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Defaults of settings that may be left out.
const (
	DefaultGraceSeconds   = 60
	DefaultStallMs        = 30_000
	DefaultMaxConnections = 4096
	DefaultPollMs         = 1_000
	DefaultBatch          = 16
	DefaultBatchTokens    = 131_072
	DefaultQueue          = 1_000
	DefaultPrefillUs      = 100
	DefaultStepUs         = 5_000
)

// ParseSettings reads and checks the settings of a process and fills in the
// defaults. Settings with a target belong to an agent, others to an entry.
func ParseSettings(text []byte) (*spec.Settings, []Problem) {
	s := &spec.Settings{}
	ps, readable := decode(text, s)
	if readable {
		fill(s)
		ps.settings(s)
	}
	if len(ps) > 0 {
		return nil, ps
	}
	return s, nil
}

// RoleOf returns the role that settings belong to.
func RoleOf(s *spec.Settings) Role {
	if s.Target != nil {
		return RoleAgent
	}
	return RoleEntry
}

func fill(s *spec.Settings) {
	if s.Listen == nil {
		s.Listen = &spec.Listen{}
	}
	if s.Platform == nil {
		s.Platform = &spec.Platform{}
	}
	if s.Logs == nil {
		s.Logs = &spec.Logs{}
	}
	if s.Logs.Level == "" {
		s.Logs.Level = "info"
	}
	preset(&s.GraceSeconds, DefaultGraceSeconds)
	preset(&s.StallMs, DefaultStallMs)
	preset(&s.MaxConnections, DefaultMaxConnections)
	preset(&s.Platform.PollMs, DefaultPollMs)
	if t := s.Target; t != nil {
		preset(&t.Batch, DefaultBatch)
		preset(&t.BatchTokens, DefaultBatchTokens)
		preset(&t.Queue, DefaultQueue)
		preset(&t.PrefillUsPerToken, DefaultPrefillUs)
		preset(&t.StepUs, DefaultStepUs)
	}
}

func preset(v *uint32, d uint32) {
	if *v == 0 {
		*v = d
	}
}

func (p *problems) settings(s *spec.Settings) {
	if s.Name == "" {
		p.add("name", "expected a name")
	}
	if s.DataCentre == "" {
		p.add("data-centre", "expected a name")
	}
	p.address("listen.http", s.Listen.Http)
	p.address("listen.peer", s.Listen.Peer)
	p.platform(s.Platform)
	if s.Target != nil {
		p.target(s.Target)
	}
	switch s.Logs.Level {
	case "debug", "info", "error":
	default:
		p.add("logs.level", "%q: expected debug, info or error", s.Logs.Level)
	}
	if s.Tls != nil {
		p.certificate("tls.callers", s.Tls.Callers, false)
		p.certificate("tls.peers", s.Tls.Peers, true)
	}
}

func (p *problems) address(path, a string) {
	if _, err := netip.ParseAddrPort(a); err != nil {
		p.add(path, "%q: expected IP:port", a)
	}
}

func (p *problems) platform(s *spec.Platform) {
	files := s.ConfigurationFile != "" || s.InstancesFile != ""
	switch {
	case s.Url != "" && files:
		p.add("platform", "expected either url or files, not both")
	case s.Url != "":
		p.url("platform.url", s.Url)
	case s.ConfigurationFile == "" || s.InstancesFile == "":
		p.add("platform", "expected url, or both configuration-file and instances-file")
	}
}

func (p *problems) url(path, s string) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		p.add(path, "%q: expected an address like http://127.0.0.1:9000", s)
	}
}

func (p *problems) target(t *spec.Target) {
	p.url("target.url", t.Url)
	switch t.Kind {
	case KindEngine:
		if len(t.Models) == 0 {
			p.add("target.models", "expected at least one model of the engine")
		}
		if t.Service != "" {
			p.add("target.service", "%q: expected none for an engine", t.Service)
		}
	case KindService:
		if t.Service == "" {
			p.add("target.service", "expected the name of the service")
		}
		if len(t.Models) > 0 {
			p.add("target.models", "expected none for a service")
		}
	default:
		p.add("target.kind", "%q: expected %q or %q", t.Kind, KindEngine, KindService)
	}
}

func (p *problems) certificate(path string, c *spec.Certificate, authority bool) {
	if c == nil {
		return
	}
	if c.CertificateFile == "" {
		p.add(path+".certificate-file", "expected a file name")
	}
	if c.KeyFile == "" {
		p.add(path+".key-file", "expected a file name")
	}
	if authority && c.AuthorityFile == "" {
		p.add(path+".authority-file", "expected a file name")
	}
}
