// Package plan is the routing configuration of a front: which service a request
// goes to, on whose behalf, and within which bounds.
//
// # Usage
//
//	p, err := plan.New(document)
//	r, ok := p.Route("host.example", "/path/")
//	w, ok := p.Workspace("key")
//	service := r.Service(0.42)
//
// A Plan never changes. Requests read one Plan from start to end.
package plan

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/spec"
)

// ErrInvalid is wrapped by errors about a document that can't be put in force.
var ErrInvalid = errors.New("invalid plan")

// Kind says what may be repeated.
type Kind string

// Kinds of routes, as they stand in documents.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Stream        Kind = "stream"
)

// Route is where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer; 0 leaves it open.
	Timeout time.Duration
	// Goal is the time to the answer, or to a stream's first event, that callers expect.
	Goal time.Duration
	// Pause is the longest pause between two events that callers expect.
	Pause     time.Duration
	Rank      int
	Attempts  int
	Public    bool
	Resumable bool
	splits    []split
}

type split struct {
	service string
	// until is the sum of the weights up to and including this one, from 0 to 1.
	until float64
}

// Service returns the service for a point from 0 to below 1, by the weights.
func (r *Route) Service(point float64) string {
	for _, s := range r.splits {
		if point < s.until {
			return s.service
		}
	}
	return r.splits[len(r.splits)-1].service
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Workspace is one customer and its allowance.
type Workspace struct {
	Name string
	// Rank goes before the route's if Ranked is set.
	Rank    int
	HasRank bool
	// CountsTokens is true if the allowance counts tokens rather than requests.
	CountsTokens  bool
	DefaultTokens int
	// Rate is the allowance a second over all fronts; 0 means that none is set.
	Rate  float64
	Burst float64
}

// Service is a set of like targets.
type Service struct {
	Name string
	// Connections is the most that one target accepts from all callers.
	Connections int
	// Engine is true if the targets are model engines.
	Engine bool
	// MemoryTokens of one engine, in tokens.
	MemoryTokens int
}

// Limits bound what callers may send; zero values set no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one revision of the configuration.
type Plan struct {
	revision   uint64
	text       []byte
	hosts      map[string][]*Route
	keys       map[[sha256.Size]byte]*Workspace
	workspaces []*Workspace
	services   map[string]*Service
	limits     Limits
}

// Empty returns the plan of a front that knows none; its revision is 0.
func Empty() *Plan { return &Plan{} }

// Decode returns the plan of a text that Text returned.
func Decode(text []byte) (*Plan, error) {
	d := &spec.Plan{}
	if err := proto.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return New(d)
}

// New checks a document and returns its plan.
func New(d *spec.Plan) (*Plan, error) {
	if d.Revision == 0 {
		return nil, fmt.Errorf("%w: revision must be above 0", ErrInvalid)
	}
	t, err := proto.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	p := &Plan{
		revision: d.Revision,
		text:     t,
		hosts:    map[string][]*Route{},
		keys:     map[[sha256.Size]byte]*Workspace{},
		services: map[string]*Service{},
		limits: Limits{
			HeaderBytes:   int(d.GetLimits().GetHeaderBytes()),
			BodyBytes:     int64(d.GetLimits().GetBodyBytes()),
			HeaderTimeout: milliseconds(d.GetLimits().GetHeaderTimeoutMs()),
			IdleTimeout:   milliseconds(d.GetLimits().GetIdleTimeoutMs()),
		},
	}
	p.addServices(d.Services)
	if err := p.addRoutes(d.Routes); err != nil {
		return nil, err
	}
	if err := p.addWorkspaces(d.Workspaces); err != nil {
		return nil, err
	}
	return p, nil
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *Plan) addServices(ss []*spec.PlanService) {
	for _, s := range ss {
		p.services[s.Name] = &Service{
			Name:         s.Name,
			Connections:  int(s.Connections),
			Engine:       s.Engine != nil,
			MemoryTokens: int(s.GetEngine().GetMemoryTokens()),
		}
	}
}

func (p *Plan) addRoutes(rs []*spec.PlanRoute) error {
	for _, d := range rs {
		r, err := newRoute(d)
		if err != nil {
			return fmt.Errorf("route %q: %w", d.Name, err)
		}
		p.hosts[r.Host] = append(p.hosts[r.Host], r)
	}
	for _, l := range p.hosts {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	return nil
}

func newRoute(d *spec.PlanRoute) (*Route, error) {
	r := &Route{
		Name:      d.Name,
		Host:      strings.ToLower(d.Host),
		Prefix:    d.Prefix,
		Kind:      Kind(d.Kind),
		Timeout:   milliseconds(d.TimeoutMs),
		Goal:      milliseconds(d.GoalMs),
		Pause:     milliseconds(d.PauseMs),
		Rank:      int(d.Rank),
		Attempts:  max(1, int(d.Attempts)),
		Public:    d.Public,
		Resumable: d.Resumable,
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Stream:
	default:
		return nil, fmt.Errorf("%w: unknown kind %q", ErrInvalid, d.Kind)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return nil, fmt.Errorf("%w: prefix %q must begin and end with a slash", ErrInvalid, d.Prefix)
	}
	sum := 0.0
	for _, s := range d.Split {
		sum += max(0, s.Weight)
	}
	if sum <= 0 {
		return nil, fmt.Errorf("%w: no service with a weight above 0", ErrInvalid)
	}
	part := 0.0
	for _, s := range d.Split {
		if s.Weight > 0 {
			part += s.Weight / sum
			r.splits = append(r.splits, split{service: s.Service, until: part})
		}
	}
	return r, nil
}

func (p *Plan) addWorkspaces(ws []*spec.PlanWorkspace) error {
	for _, d := range ws {
		w := &Workspace{
			Name:          d.Name,
			Rank:          int(d.GetRank()),
			HasRank:       d.Rank != nil,
			CountsTokens:  d.Tokens,
			DefaultTokens: int(d.DefaultTokens),
			Rate:          d.Rate,
			Burst:         d.Burst,
		}
		p.workspaces = append(p.workspaces, w)
		for _, k := range d.KeyHashes {
			if len(k) != sha256.Size {
				return fmt.Errorf("%w: workspace %q: a key hash has %d bytes: expected %d", ErrInvalid, d.Name, len(k), sha256.Size)
			}
			p.keys[[sha256.Size]byte(k)] = w
		}
	}
	return nil
}

// Revision returns the plan's number; 0 means that no plan is known.
func (p *Plan) Revision() uint64 { return p.revision }

// Encoded returns the encoded document, for peers. It must not be changed.
func (p *Plan) Encoded() []byte { return p.text }

// Limits returns the bounds on what callers send.
func (p *Plan) Limits() Limits { return p.limits }

// RequiresKey reports whether callers need keys, except on public routes.
func (p *Plan) RequiresKey() bool { return len(p.workspaces) > 0 }

// Workspaces returns all customers.
func (p *Plan) Workspaces() []*Workspace { return p.workspaces }

// Workspace returns the customer that holds a key.
func (p *Plan) Workspace(key string) (*Workspace, bool) {
	w, ok := p.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// Service returns a service, or nil if the plan has none of that name.
func (p *Plan) Service(name string) *Service { return p.services[name] }

// Route returns the route of a host and an undecoded path: the one with the
// longest prefix.
func (p *Plan) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range p.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
