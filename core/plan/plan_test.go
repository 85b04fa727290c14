package plan_test

import (
	"crypto/sha256"
	"errors"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/plan"
	"kingcupstand/schema/spec"
)

func document() *spec.Plan {
	k := sha256.Sum256([]byte("key"))
	return &spec.Plan{
		Revision: 3,
		Routes: []*spec.PlanRoute{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: "idempotent", Split: []*spec.PlanSplit{{Service: "web", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: "stream", Resumable: true, Split: []*spec.PlanSplit{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}},
			{Name: "shallow", Host: "a.example", Prefix: "/x/", Kind: "non-idempotent", Split: []*spec.PlanSplit{{Service: "web", Weight: 1}}},
		},
		Workspaces: []*spec.PlanWorkspace{{Name: "w", KeyHashes: [][]byte{k[:]}}},
	}
}

func TestRouteHasLongestPrefix(t *testing.T) {
	p, err := plan.New(document())
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/": "all", "/x": "all", "/x/": "shallow", "/x/y": "shallow", "/x/y/": "deep", "/x/y//z": "deep", "/x%2Fy/": "all",
	} {
		r, ok := p.Route("A.example:8080", path)
		if !ok || r.Name != want {
			t.Errorf("%s: got %v, want %s", path, r, want)
		}
	}
	if _, ok := p.Route("b.example", "/"); ok {
		t.Error("got a route for a host that has none")
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	p, err := plan.New(document())
	if err != nil {
		t.Fatal(err)
	}
	r, _ := p.Route("a.example", "/x/y/")
	n := map[string]int{}
	for i := range 1000 {
		n[r.Service(float64(i)/1000)]++
	}
	if n["old"] != 900 || n["new"] != 100 {
		t.Errorf("got %v, want 900 old and 100 new", n)
	}
}

func TestDecodeRestoresPlan(t *testing.T) {
	p, err := plan.New(document())
	if err != nil {
		t.Fatal(err)
	}
	q, err := plan.Decode(p.Encoded())
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := q.Workspace("key"); !ok || q.Revision() != 3 {
		t.Errorf("got revision %d, key known %v, want 3, true", q.Revision(), ok)
	}
	if _, ok := q.Workspace("other"); ok {
		t.Error("an unknown key was accepted")
	}
}

func TestNewRejectsInvalidDocuments(t *testing.T) {
	for name, edit := range map[string]func(*spec.Plan){
		"no revision":                  func(d *spec.Plan) { d.Revision = 0 },
		"no later revision":            func(d *spec.Plan) { d.Revision = math.MaxUint64 },
		"unknown kind":                 func(d *spec.Plan) { d.Routes[0].Kind = "sometimes" },
		"prefix without closing slash": func(d *spec.Plan) { d.Routes[0].Prefix = "/x" },
		"no service":                   func(d *spec.Plan) { d.Routes[0].Split = nil },
		"short key":                    func(d *spec.Plan) { d.Workspaces[0].KeyHashes = [][]byte{{1}} },
		"no weight > 0":                func(d *spec.Plan) { d.Routes[0].Split[0].Weight = 0 },
	} {
		d := proto.CloneOf(document())
		edit(d)
		if _, err := plan.New(d); !errors.Is(err, plan.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
		}
	}
}

// Guards against sums that are no number, and against a route without any service: weights, rates and
// bursts of any size are those of a valid plan.
func TestOddAmounts(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, -math.MaxFloat64, math.SmallestNonzeroFloat64} {
		d := proto.CloneOf(document())
		d.Routes[1].Split[0].Weight = v
		d.Workspaces[0].Rate, d.Workspaces[0].Burst = v, v
		d.Services = []*spec.PlanService{{Name: "new", WarmUpRate: v}}
		p, err := plan.New(d)
		if err != nil {
			t.Errorf("%v: %v", v, err)
			continue
		}
		r, _ := p.Route("a.example", "/x/y/")
		if n := r.Service(0.999999); n != "new" && v < 1 {
			t.Errorf("weight %v: got service %q", v, n)
		}
		w := p.Workspaces()[0]
		for _, a := range []float64{w.Rate, w.Burst, p.Service("new").WarmUpRate} {
			if math.IsNaN(a) || a < 0 || a > 1e12 {
				t.Errorf("%v: got amount %v", v, a)
			}
		}
	}
}

// Guards against requests whose bodies are lost on their way to targets: readers of a body add 1 to its limit.
func TestOddBodyLimits(t *testing.T) {
	for _, n := range []uint64{math.MaxInt64 - 1, math.MaxInt64, math.MaxInt64 + 1, math.MaxUint64} {
		d := proto.CloneOf(document())
		d.Limits = &spec.PlanLimits{BodyBytes: n}
		p, err := plan.New(d)
		if err != nil {
			t.Fatal(err)
		}
		if b := p.Limits().BodyBytes; b <= 0 || b == math.MaxInt64 {
			t.Errorf("limit %d: got %d", n, b)
		}
	}
}

func FuzzDecode(f *testing.F) {
	p, err := plan.New(document())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Encoded())
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := plan.Decode(b); err == nil && p.Revision() == 0 {
			t.Error("a plan without a revision was accepted")
		}
	})
}

func TestMovesRoutes(t *testing.T) {
	old, err := plan.New(document())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		edit func(*spec.Plan)
		want bool
	}{
		"same":          {func(*spec.Plan) {}, false},
		"other weights": {func(d *spec.Plan) { d.Routes[1].Split[0].Weight = 1 }, false},
		"route added": {func(d *spec.Plan) {
			d.Routes = append(d.Routes, &spec.PlanRoute{Name: "z", Host: "z.example", Prefix: "/", Kind: "idempotent", Split: []*spec.PlanSplit{{Service: "web", Weight: 1}}})
		}, false},
		"other service": {func(d *spec.Plan) { d.Routes[1].Split[0].Service = "web" }, true},
	} {
		d := document()
		c.edit(d)
		p, err := plan.New(d)
		if err != nil {
			t.Fatal(err)
		}
		if got := p.MovesRoutes(old); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	if old.MovesRoutes(plan.Empty()) {
		t.Error("first plan: got true, want false")
	}
}
