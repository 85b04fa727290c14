package conf

import (
	"net/netip"
	"net/url"

	"kingcupstand/schema/spec"
)

// Role is the role of a process in the system.
type Role string

// Roles. An entry accepts callers' requests and chooses a target for each. An agent
// queues and dispatches the requests to a single target.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Kinds of targets: a model engine, or any other HTTP service.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Defaults of settings that are left out or 0. Names give the unit where there is
// one; DefaultPrefillUs is a time per prompt token. DefaultBatch, DefaultMaxConnections
// and DefaultQueue are counts.
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

// ParseSettings parses and checks the settings of an entry or an agent and fills in
// defaults. Settings with a target belong to an agent, others to an entry. The
// Settings are nil if there are problems.
func ParseSettings(text []byte) (*spec.Settings, []Problem) {
	s := &spec.Settings{}
	ps, readable := decode(text, s)
	if readable {
		setDefaults(s)
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

// setDefaults fills in defaults, and empty messages in place of missing ones that the
// checks read.
func setDefaults(s *spec.Settings) {
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
	setDefault(&s.GraceSeconds, DefaultGraceSeconds)
	setDefault(&s.StallMs, DefaultStallMs)
	setDefault(&s.MaxConnections, DefaultMaxConnections)
	setDefault(&s.Platform.PollMs, DefaultPollMs)
	if t := s.Target; t != nil {
		setDefault(&t.Batch, DefaultBatch)
		setDefault(&t.BatchTokens, DefaultBatchTokens)
		setDefault(&t.Queue, DefaultQueue)
		setDefault(&t.PrefillUsPerToken, DefaultPrefillUs)
		setDefault(&t.StepUs, DefaultStepUs)
	}
}

// setDefault sets a value that is 0 to its default.
func setDefault(v *uint32, d uint32) {
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

// platform checks that the settings name either the platform's URL or both files
// that take its place.
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

// certificate checks a certificate's file names. The authority is required for peers,
// which verify each other's certificates.
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
