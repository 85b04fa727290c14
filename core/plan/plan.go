// Package plan is the routing configuration of a front: the services and routes, the
// workspaces with their API keys and allowances, and the limits on callers' requests.
//
// A Plan is checked when it is built from a document and never changes afterwards, so
// it may be shared between goroutines. A request uses one Plan from start to end.
//
// # Usage
//
//	p, err := plan.New(document)
//	r, ok := p.Route("host.example", "/path/")
//	w, ok := p.Workspace("key")
//	service := r.Service(0.42)
package plan

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/spec"
)

// ErrInvalid is wrapped by errors about a document that is not a valid plan.
var ErrInvalid = errors.New("invalid plan")

// MaxRevision is the highest revision of a plan. Of a higher one it isn't certain that a later one can be
// written: JSON numbers are exact only up to it.
const MaxRevision = 1 << 53

// Kind is a route's kind of requests. It decides which requests may be retried after
// they may have run.
type Kind string

// Kinds of routes, with their names in documents.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Stream        Kind = "stream"
)

// Route holds the settings for requests with a host and path prefix.
type Route struct {
	Name string
	// Host is in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the complete response; 0 sets no limit.
	Timeout time.Duration
	// Goal is the time to the response, or to a stream's first event, that callers expect.
	Goal time.Duration
	// Gap is the longest gap between two events of a stream that callers expect.
	Gap time.Duration
	// Rank is the route rank, which orders the requests of a tier; 0 is the most urgent. It
	// is also the tier rank, unless the workspace has one; tier 0 is served first and shed
	// last.
	Rank int
	// Attempts is the largest number of targets that one request is sent to, at least 1.
	Attempts int
	// Public is true if callers need no API key.
	Public bool
	// Resumable is true if a stream can go on at another target after its last event.
	Resumable bool
	splits    []split
}

// split is one service's share of a route's requests.
type split struct {
	service string
	// until is the sum of the shares up to and including this one, from 0 to 1.
	until float64
}

// Service returns the service for a point in [0, 1). A uniformly random point selects
// services in proportion to their weights.
func (r *Route) Service(point float64) string {
	for _, s := range r.splits {
		if point < s.until {
			return s.service
		}
	}
	return r.splits[len(r.splits)-1].service
}

// Services returns the sorted names of the services that the route sends requests to.
func (r *Route) Services() []string {
	var ns []string
	for _, s := range r.splits {
		ns = append(ns, s.service)
	}
	slices.Sort(ns)
	return slices.Compact(ns)
}

// HasService reports whether the route sends requests to a service.
func (r *Route) HasService(name string) bool { return slices.Contains(r.Services(), name) }

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Workspace is one customer and its allowance.
type Workspace struct {
	Name string
	// Rank is the tier rank of the workspace's requests, in place of the route's rank, if
	// HasRank is true.
	Rank    int
	HasRank bool
	// CountsTokens is true if the allowance counts tokens rather than requests.
	CountsTokens bool
	// DefaultTokens is the cost of a request whose number of tokens is unknown.
	DefaultTokens int
	// Rate is the allowance a second over all fronts, in requests, or in tokens if
	// CountsTokens is true; 0 sets no limit.
	Rate float64
	// Burst is the capacity of the token bucket, in the same unit.
	Burst float64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// Connections is the largest number that one target accepts from all callers.
	Connections int
	// Engine is true if the targets are model engines.
	Engine bool
	// MemoryTokens is the capacity of one engine's KV cache, in tokens.
	MemoryTokens int
	// WarmUp is how long a target warms up after its start, and WarmUpRate the number of
	// requests a second that it takes meanwhile; 0 if it needs no warm-up.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Limits bounds the requests of callers. A zero value sets no limit in the plan; a front
// may then apply its own.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one revision of the configuration.
type Plan struct {
	revision uint64
	encoded  []byte
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	// keys holds the workspaces by the SHA-256 hash of their API keys.
	keys       map[[sha256.Size]byte]*Workspace
	workspaces []*Workspace
	services   map[string]*Service
	// used holds the names of the services and those that routes send requests to.
	used   map[string]bool
	limits Limits
}

// LongestStream returns the longest timeout of the streaming routes; 0 if there are none.
func (p *Plan) LongestStream() time.Duration {
	var d time.Duration
	for _, rs := range p.hosts {
		for _, r := range rs {
			if r.Kind == Stream {
				d = max(d, r.Timeout)
			}
		}
	}
	return d
}

// ResumableServices returns the services of routes whose streams callers may resume.
func (p *Plan) ResumableServices() map[string]bool {
	ss := map[string]bool{}
	for _, rs := range p.hosts {
		for _, r := range rs {
			if r.Kind == Stream && r.Resumable {
				for _, s := range r.Services() {
					ss[s] = true
				}
			}
		}
	}
	return ss
}

// MovesRoutes reports whether the plan sends any requests elsewhere than an earlier plan did.
func (p *Plan) MovesRoutes(earlier *Plan) bool {
	for host, rs := range p.hosts {
		for _, r := range rs {
			if o, ok := earlier.Route(host, r.Prefix); ok && !slices.Equal(r.Services(), o.Services()) {
				return true
			}
		}
	}
	return false
}

// Empty returns a plan without routes and with revision 0, for a front that has received
// no plan yet.
func Empty() *Plan { return &Plan{} }

// Decode returns the plan of an encoded document, as from Plan.Encoded. Errors wrap
// ErrInvalid.
func Decode(encoded []byte) (*Plan, error) {
	d := &spec.Plan{}
	if err := proto.Unmarshal(encoded, d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return New(d)
}

// New checks a document and returns its plan. Errors wrap ErrInvalid. The document is
// not retained.
func New(d *spec.Plan) (*Plan, error) {
	if d.Revision == 0 {
		return nil, fmt.Errorf("%w: revision must be above 0", ErrInvalid)
	}
	if d.Revision > MaxRevision {
		return nil, fmt.Errorf("%w: revision must be at most %d", ErrInvalid, uint64(MaxRevision))
	}
	t, err := proto.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	p := &Plan{
		revision: d.Revision,
		encoded:  t,
		hosts:    map[string][]*Route{},
		keys:     map[[sha256.Size]byte]*Workspace{},
		services: map[string]*Service{},
		used:     map[string]bool{},
		limits: Limits{
			HeaderBytes:   int(d.GetLimits().GetHeaderBytes()),
			BodyBytes:     int64(min(d.GetLimits().GetBodyBytes(), maxBodyBytes)),
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

// maxBodyBytes is the largest limit of a request's body that is used. Larger ones are reduced to it:
// readers add to it.
const maxBodyBytes = 1 << 40

// maxAmount is the largest rate, burst or weight that is used. Larger ones are reduced to it: sums
// and products of them must be finite, and fit into heartbeats.
const maxAmount = 1e12

// amount returns a rate, burst or weight as a number from 0 to maxAmount.
func amount(v float64) float64 {
	if !(v > 0) { // also if it is no number
		return 0
	}
	return min(v, maxAmount)
}

func (p *Plan) addServices(ss []*spec.PlanService) {
	for _, s := range ss {
		p.used[s.Name] = true
		p.services[s.Name] = &Service{
			Name:         s.Name,
			Connections:  int(s.Connections),
			Engine:       s.Engine != nil,
			MemoryTokens: int(s.GetEngine().GetMemoryTokens()),
			WarmUp:       milliseconds(s.WarmUpMs),
			WarmUpRate:   amount(s.WarmUpRate),
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
		for _, s := range r.splits {
			p.used[s.service] = true
		}
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
		Gap:       milliseconds(d.PauseMs),
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
		sum += amount(s.Weight)
	}
	if sum <= 0 {
		return nil, fmt.Errorf("%w: no service has a weight above 0", ErrInvalid)
	}
	total := 0.0
	for _, s := range d.Split {
		if w := amount(s.Weight); w > 0 {
			total += w / sum
			r.splits = append(r.splits, split{service: s.Service, until: total})
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
			Rate:          amount(d.Rate),
			Burst:         amount(d.Burst),
		}
		p.workspaces = append(p.workspaces, w)
		for _, k := range d.KeyHashes {
			if len(k) != sha256.Size {
				return fmt.Errorf("%w: workspace %q: a key hash has %d bytes, expected %d", ErrInvalid, d.Name, len(k), sha256.Size)
			}
			p.keys[[sha256.Size]byte(k)] = w
		}
	}
	return nil
}

// Revision returns the plan's revision; 0 means that no plan has been received.
func (p *Plan) Revision() uint64 { return p.revision }

// Encoded returns the encoded document, for peers. Callers must not change it.
func (p *Plan) Encoded() []byte { return p.encoded }

// Limits returns the limits on callers' requests.
func (p *Plan) Limits() Limits { return p.limits }

// RequiresKey reports whether callers need an API key, except on public routes. They need
// one if the plan has any workspace.
func (p *Plan) RequiresKey() bool { return len(p.workspaces) > 0 }

// Workspaces returns all workspaces. Callers must not change them.
func (p *Plan) Workspaces() []*Workspace { return p.workspaces }

// Workspace returns the workspace that an API key belongs to.
func (p *Plan) Workspace(key string) (*Workspace, bool) {
	w, ok := p.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// Services returns all services, in any order.
func (p *Plan) Services() []*Service { return slices.Collect(maps.Values(p.services)) }

// Service returns the service of a name, or nil if the plan has none.
func (p *Plan) Service(name string) *Service { return p.services[name] }

// Uses reports whether the plan has a service, or a route that sends requests to it.
func (p *Plan) Uses(service string) bool { return p.used[service] }

// Route returns the route of a host, with or without a port, and an undecoded path: the
// one with the longest prefix of the path.
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
